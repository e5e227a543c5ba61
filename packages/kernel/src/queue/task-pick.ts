import type { Job } from '../submission/job';
import type { Task } from '../submission/task';
import type { Flow } from './flow';
import type { RunClass } from './run-class';

/** The task that goes next, still in its queue. */
export interface TaskPick {
  readonly flow: Flow;
  readonly job: Job;
  readonly task: Task;
  readonly runClass: RunClass;
}
