import type { AttemptId } from '../ids/attempt-id';
import type { PooledServer } from '../placement/pooled-server';
import type { Flow } from '../queue/flow';
import type { RunClass } from '../queue/run-class';
import type { Job } from '../submission/job';
import type { Task } from '../submission/task';

/**
 * An attempt whose outcome is not known yet. It occupies a slot and counts against its flow's limits.
 */
export interface RunningAttempt {
  readonly id: AttemptId;
  readonly job: Job;
  readonly task: Task;
  readonly flow: Flow;
  readonly account: PooledServer;
  readonly startedAtMs: number;
  runClass: RunClass;
}
