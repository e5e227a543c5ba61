import type { DomainName } from '../ids/domain-name';
import type { InstanceName } from '../ids/instance-name';
import type { TaskId } from '../ids/task-id';
import type { CrashRecord } from './crash-record';
import type { JobSpec } from './job-spec';

/** A job as an entry instance submits it, with what the instance knows from an earlier leader. */
export interface EngineSubmission {
  readonly spec: JobSpec;
  readonly owner: InstanceName;
  /** Failure domain of the owner and its callers; undefined if the owner has not told it. */
  readonly callerDomain?: DomainName | undefined;
  /** Time since the caller's first submission arrived, in milliseconds. */
  readonly ageMs: number;
  /** Tasks that are known to be done. */
  readonly doneTasks: ReadonlySet<TaskId>;
  /** True if the job was submitted to an earlier leader, so that runs of it may be in progress. */
  readonly isResumed: boolean;
  /** True if the last leader has told that nothing of the job has started; it can start nothing any more. */
  readonly isUnstarted?: boolean;
  /** Time until all runs that an earlier leader started must have ended, in milliseconds. */
  readonly priorRunsExpireInMs: number;
  /** True if those runs may be on servers that this leader does not know. */
  readonly mayRunOnUnknownServers: boolean;
  /** Servers that are known to have crashed or fallen silent under tasks of the job. */
  readonly crashes: readonly CrashRecord[];
  /**
   * True if the leader of another part has sent the job on; it is moved a second time only if its part has been
   * closed.
   */
  readonly isMoved: boolean;
  /**
   * How often leaders have sent the job on. Undefined if it has not been, and for one that an entry instance
   * of an earlier build submits.
   */
  readonly moveCount?: number;
}
