import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** A job for whose outcome at least one caller waits. */
export interface OpenJob {
  readonly spec: JobSpec;
  /** Version of the configuration in force when the job first arrived; undefined without one. */
  readonly acceptedVersion: number | undefined;
  /** When the job first arrived, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
  /** Tasks that a leader has reported as done; a later leader does not run them again. */
  readonly doneTasks: Set<TaskId>;
  /** Callbacks of the waiting callers, one for each connection on which the job was sent. */
  readonly waiters: Set<(outcome: JobOutcome) => void>;
  /** The part whose leader has the job or had it last; undefined if no leader may have it. */
  part: PartId | undefined;
  /** Parts whose leaders have sent the job back without starting anything of it. */
  readonly triedParts: Set<PartId>;
  /** True once something of the job may have started. */
  mayHaveRun: boolean;
  /** True if the job was submitted to a leader other than the next one. */
  hadEarlierLeader: boolean;
  /** True if the last leader has told, when it stopped leading, that nothing of the job has started. */
  isUnstarted: boolean;
  /** True if the job goes to a part to which the leader of another one has sent it on. */
  isMoved: boolean;
  /** How often leaders have sent the job on. */
  moveCount: number;
  /**
   * True if runs of the job may be on servers that the next leader does not know: the last leader led
   * a failure domain that was cut off, or another part, or used a server whose store entry is gone.
   */
  mayRunOnUnknownServers: boolean;
  /**
   * Until when such runs of earlier leaders may stay alive, in monotonic milliseconds: a leader that has
   * taken the job since may be lost as well before they must have ended.
   */
  unknownRunsExpireAtMs: number;
  /** True once the job is known to be cancelled: it is not submitted to any leader any more. */
  isCancelled: boolean;
  /** Number of leaders that have gone without notice while they had the job. */
  lostLeaders: number;
  /** When the last leader that has the job was lost, in monotonic milliseconds. */
  leaderLostAtMs: number | undefined;
}
