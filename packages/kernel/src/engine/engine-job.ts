import type { InstanceName } from '../ids/instance-name';
import type { EngineTask } from './engine-task';
import type { JobSpec } from './job-spec';

/** An open job and its tasks. */
export interface EngineJob {
  readonly spec: JobSpec;
  /** The instance that answers the caller; undefined while no instance asks for the job. */
  owner: InstanceName | undefined;
  /** When the caller's first send arrived, monotonic milliseconds. */
  readonly arrivedAtMs: number;
  readonly tasks: readonly EngineTask[];
  /** Tasks of each step that are not done. */
  readonly remainingByStep: number[];
  /** Longest run of each step so far, in milliseconds. */
  readonly longestRunMsByStep: number[];
  /** Tasks that are not done. */
  remainingTasks: number;
  /** Tasks with a run in progress. */
  runningTasks: number;
  /** Runs of an earlier leader may be on servers that are not known here: only time tells. */
  readonly mayRunOnUnknownServers: boolean;
  /** True once any run was ordered, also by an earlier leader. */
  hasStarted: boolean;
}
