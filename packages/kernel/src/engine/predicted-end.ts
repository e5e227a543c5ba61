import type { EngineJob } from './engine-job';

/** Why a job is refused: when it is predicted to end, and until when that would be useful. */
export interface PredictedEnd {
  readonly job: EngineJob;
  /** CPU time that the job needs, in thousandths of a core times milliseconds. */
  readonly work: number;
  /** When the jobs before it are predicted to have started, from now in milliseconds. */
  readonly startInMs: number;
  /** In monotonic milliseconds. */
  readonly endAtMs: number;
  /** In monotonic milliseconds. */
  readonly usefulUntilMs: number;
}
