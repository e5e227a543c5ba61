/** Counts of waits for better places since the last report. */
export interface LocalityCounts {
  /** Tasks that began to wait for a better place although they could start. */
  readonly waitedTasks: number;
  /** Places that were given up because the estimate proved wrong or the time was up. */
  readonly placesGivenUp: number;
  /** Time that waits were expected to gain, of tasks that have ended, in milliseconds. */
  readonly expectedGainMs: number;
  /** Time by which tasks ended before the declined start would have ended, in milliseconds. */
  readonly gainMs: number;
  /** Time by which tasks ended after the declined start would have ended, in milliseconds. */
  readonly lossMs: number;
}
