import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { RunIsolation } from './run-isolation';
import type { Resources } from './resources';

/**
 * One start of a task on a server; holds the server's resources until it is known to have ended.
 */
export interface EngineRun {
  readonly task: TaskId;
  /** Number of the start; increases with each start of a task. */
  readonly run: number;
  readonly serverId: ServerId;
  readonly demand: Resources;
  /** When the start was ordered, in monotonic milliseconds. */
  readonly startedAtMs: number;
  /** Expected duration, in milliseconds. */
  readonly expectedMs: number;
  /** `starting` until the server confirms the start; `stopping` once a stop is ordered. */
  state: 'starting' | 'running' | 'stopping';
  /**
   * When the server confirmed the last order for this run, in monotonic milliseconds; undefined
   * until it does.
   */
  answeredAtMs: number | undefined;
  /**
   * Start of the life of the server that is known to have the run, in Unix milliseconds; until a life lists the run,
   * of the one that was known when the start was ordered.
   */
  lifeStartedAtMs: number;
  /** True for a run that another leader started, until its job is submitted to this leader. */
  isUnclaimed: boolean;
  /** True for a run that another leader started: when it began is not known. */
  readonly isAdopted?: boolean;
  /**
   * When the start was answered, or given up without an answer, in monotonic milliseconds; absent until then, and
   * for adopted runs.
   */
  startSettledAtMs?: number;
  /** Whether the server has accepted the start or listed the run; absent until it has. */
  wasSeen?: boolean;
  readonly isolation: RunIsolation;
  /** Progress that the server last reported, 0 to 100. */
  percent: number;
}
