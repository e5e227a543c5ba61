import type { Arrival } from './arrival';

/** What became of one job of a load run. */
export interface JobRecord {
  readonly arrival: Arrival;
  readonly outcome: 'complete' | 'not-run' | 'failed' | 'unknown';
  /** What the problem document said, for jobs that are not complete. */
  readonly detail: string;
  /** Milliseconds from the planned arrival to the whole answer. */
  readonly tookMs: number;
  readonly endedAtMs: number;
}
