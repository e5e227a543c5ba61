import type { InstanceName } from '../ids/instance-name';
import type { TaskId } from '../ids/task-id';
import type { JobSpec } from './job-spec';

/** A job as an entry instance hands it in, with what an earlier leader has told of it. */
export interface EngineSubmission {
  readonly spec: JobSpec;
  readonly owner: InstanceName;
  /** How long ago the caller's first send arrived, in milliseconds. */
  readonly ageMs: number;
  /** Tasks that are known to be done. */
  readonly doneTasks: ReadonlySet<TaskId>;
  /** True if an earlier leader had this job, so that runs of it may be alive. */
  readonly isResumed: boolean;
  /** How long runs ordered by an earlier leader may still be alive, in milliseconds. */
  readonly priorRunsExpireInMs: number;
  /** True if those runs may be on servers that this leader does not know. */
  readonly mayRunOnUnknownServers: boolean;
}
