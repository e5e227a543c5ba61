import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { EngineRun } from './engine-run';
import type { PlaceWait } from './place-wait';

/** A task of an open job. */
export interface EngineTask {
  readonly id: TaskId;
  readonly step: number;
  state: 'waiting' | 'running' | 'done';
  /** The run in progress; undefined unless `state` is `running`. */
  current: EngineRun | undefined;
  /** Number of the last start; 0 before the first. */
  lastRunNumber: number;
  /** Number of runs that failed. */
  failures: number;
  /** Servers where a run of this task failed, was stopped or was lost; others are preferred. */
  readonly avoidedServers: Set<ServerId>;
  /**
   * Earliest time of the next start, in monotonic milliseconds: until then, a run of an earlier
   * leader may be in progress.
   */
  blockedUntilMs: number;
  /** The wait for a better place since the last end of a run; undefined if the task never declined a start. */
  wait?: PlaceWait | undefined;
}
