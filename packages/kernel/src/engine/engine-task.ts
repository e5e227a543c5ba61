import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { EngineRun } from './engine-run';

/** A task of an open job. */
export interface EngineTask {
  readonly id: TaskId;
  readonly step: number;
  state: 'waiting' | 'running' | 'done';
  /** The run in progress; undefined unless `state` is `running`. */
  current: EngineRun | undefined;
  /** The number of the last start. */
  lastRunNumber: number;
  /** Runs that ended failed. */
  failures: number;
  /** Servers where a run of this task failed or was lost; others come first. */
  readonly avoidedServers: Set<ServerId>;
  /** Not to be started before this time, since an earlier run may still be alive; monotonic ms. */
  blockedUntilMs: number;
}
