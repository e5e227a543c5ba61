import type { EvacuatedJobs } from '@guavaspindle/kernel/engine/evacuated-jobs';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';

/** What a leader needs to keep tasks from starting in evacuated failure domains. */
export interface EvacuationOptions {
  /** Time within which nothing may start any more in an evacuated domain, in milliseconds. */
  readonly evacuationMs: number;
  /**
   * As of when this process has the requests from the store, in monotonic milliseconds; `-Infinity` if it has not
   * read them yet.
   */
  findKnownAsOfMs(): number;
  /** Lists the parts of the present layout. */
  listParts(): readonly PoolPart[];
  /** Called with the jobs that have left because of an evacuation. */
  recordJobs(jobs: EvacuatedJobs): void;
}
