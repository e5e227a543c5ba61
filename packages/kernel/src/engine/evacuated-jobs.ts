import type { JobId } from '../ids/job-id';

/** Jobs that left an engine because all servers that could run them are in closed failure domains. */
export interface EvacuatedJobs {
  /** Sent on to other parts. */
  readonly moved: readonly JobId[];
  /** Nothing of them has run. */
  readonly refused: readonly JobId[];
  /** Some of their tasks have run. */
  readonly abandoned: readonly JobId[];
}
