import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** A job for whose outcome at least one caller waits. */
export interface OpenJob {
  readonly spec: JobSpec;
  /** When the job first arrived, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** Tasks that a leader has reported as done; a later leader does not run them again. */
  readonly doneTasks: Set<TaskId>;
  /** Callbacks of the waiting callers, one for each connection on which the job was sent. */
  readonly waiters: Set<(outcome: JobOutcome) => void>;
  /** True once a leader may have received the job. */
  wasSent: boolean;
  /** True if the last leader that received the job led only a failure domain that was cut off. */
  hadDomainLeader: boolean;
  /** When the last leader that received the job was lost, in monotonic milliseconds. */
  leaderLostAtMs: number | undefined;
}
