import type { Job } from '../submission/job';
import type { Task } from '../submission/task';
import type { Flow } from './flow';
import type { RunClass } from './run-class';

/** A task chosen to start next. It remains in its queue until `Scheduler.dequeueTask`. */
export interface TaskPick {
  readonly flow: Flow;
  readonly job: Job;
  readonly task: Task;
  readonly runClass: RunClass;
}
