import type { DomainName } from '../ids/domain-name';
import type { InstanceName } from '../ids/instance-name';
import type { CriticalPath } from './critical-path';
import type { EngineTask } from './engine-task';
import type { JobGroup } from './job-group';
import type { JobSpec } from './job-spec';

/** An open job and its tasks. */
export interface EngineJob {
  readonly spec: JobSpec;
  /** The instance that answers the caller; undefined while no instance waits for the job. */
  owner: InstanceName | undefined;
  /**
   * True from the time that the owner has opened its link again until it has submitted the job on it. The
   * caller may have left while the link was down.
   */
  isUnlisted: boolean;
  /** When the caller's first submission arrived, in monotonic milliseconds. */
  readonly arrivedAtMs: number;
  readonly tasks: readonly EngineTask[];
  /** Smallest CPU demand of a task of any step, in thousandths of a core. */
  readonly smallestDemandMilli: number;
  /** Number of tasks of each step that are not done. */
  readonly remainingByStep: number[];
  /** Duration of the longest completed run of each step, in milliseconds; 0 if there is none. */
  readonly longestRunMsByStep: number[];
  /** Number of tasks that are not done. */
  remainingTasks: number;
  /** Number of tasks with a run in progress. */
  runningTasks: number;
  /**
   * True if runs of an earlier leader may be in progress on servers that this leader does not know.
   * No server list proves that they have ended; tasks wait until the runs have expired.
   */
  mayRunOnUnknownServers: boolean;
  /** True if the job may be sent on to another part as long as it has not started. */
  readonly isMovable: boolean;
  /** How often leaders of other parts have sent the job on. */
  readonly moveCount: number;
  /** True if none of the servers outside the closed failure domains could ever run the job. */
  isStranded: boolean;
  /** True once a run was started, by this leader or an earlier one. */
  hasStarted: boolean;
  /** Failure domain of the callers; undefined if it is not known. */
  readonly callerDomain: DomainName | undefined;
  /** Jobs that share capacity with this one; undefined where queues have no priorities. */
  group: JobGroup | undefined;
  /** True once no other part had room for the job when it was to move. */
  wasOffered: boolean;
  /** The critical path as last computed, and what it was computed from. */
  knownPath:
    | {
        readonly path: CriticalPath;
        readonly revision: number;
        readonly remainingTasks: number;
      }
    | undefined;
}
