import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { Resources } from './resources';

/** One start of a task on a server; it holds the server's resources until it is known to be over. */
export interface EngineRun {
  readonly task: TaskId;
  /** Number of the start; a task's numbers rise. */
  readonly run: number;
  readonly serverId: ServerId;
  readonly demand: Resources;
  /** Monotonic milliseconds of the order. */
  readonly startedAtMs: number;
  /** How long the run is expected to take, in milliseconds. */
  readonly expectedMs: number;
  /** `starting` until the server has answered the order; `stopping` from the order to stop on. */
  state: 'starting' | 'running' | 'stopping';
  /** When the server answered the last order for this run; undefined before. */
  answeredAtMs: number | undefined;
  /** True for a run that another leader ordered, until its job is handed in here. */
  isUnclaimed: boolean;
  /** Share of the work done as last reported, 0 to 100. */
  percent: number;
}
