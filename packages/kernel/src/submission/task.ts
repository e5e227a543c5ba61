import type { TaskId } from '../ids/task-id';
import type { TaskInput } from './task-input';
import type { TaskState } from './task-state';

/** A task of an accepted job. */
export interface Task {
  readonly id: TaskId;
  readonly index: number;
  readonly input: TaskInput;
  state: TaskState;
  /** Number of attempts so far, including those proved not to have run. */
  attempts: number;
  /**
   * Whether an earlier attempt failed or has an unknown outcome. Only single idempotent requests
   * are then retried.
   */
  mayHaveRun: boolean;
  /** Estimated run time in milliseconds, learned from earlier runs when possible. */
  estimateMs: number;
}
