import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** A job whose caller waits for the answer. */
export interface OpenJob {
  readonly spec: JobSpec;
  /** Monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** Tasks that a leader has reported done; a later leader does not run them again. */
  readonly doneTasks: Set<TaskId>;
  /** One for each connection on which the job was sent. */
  readonly waiters: Set<(outcome: JobOutcome) => void>;
  /** True once a leader may have had the job. */
  wasSent: boolean;
  /** True if the leader that had it last led a cut-off domain alone. */
  hadDomainLeader: boolean;
  /** When the link to the leader that had it was lost; monotonic milliseconds. */
  linkLostAtMs: number | undefined;
}
