import type { EngineJob } from './engine-job';
import type { Urgency } from './urgency';

/** A job that waits for servers and its place in the order of starts. */
export interface RankedJob {
  readonly job: EngineJob;
  readonly urgency: Urgency;
}
