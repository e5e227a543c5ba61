import type { TaskId } from '../ids/task-id';
import type { TaskInput } from './task-input';
import type { TaskState } from './task-state';

/** A task of an accepted job. */
export interface Task {
  readonly id: TaskId;
  readonly index: number;
  readonly input: TaskInput;
  state: TaskState;
  /** Attempts begun so far, including those proved not to have run. */
  attempts: number;
  /** An earlier attempt failed or ended unknown; only single idempotent requests go on then. */
  mayHaveRun: boolean;
  /** Expected run time in milliseconds, learned when possible. */
  estimateMs: number;
}
