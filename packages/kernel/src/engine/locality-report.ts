import type { DeclinedStart } from './declined-start';
import type { LocalityCounts } from './locality-counts';

/** Waits for better places since the last report. */
export interface LocalityReport {
  readonly counts: LocalityCounts;
  /** The last wait that began; undefined if none did. */
  readonly lastWait: DeclinedStart | undefined;
}
