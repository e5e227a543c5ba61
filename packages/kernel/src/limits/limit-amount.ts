/** A part of a row's limits. */
export interface LimitAmount {
  /** Tasks that may run at once. */
  readonly running: number;
  /** Starts a second. */
  readonly perSecond: number;
}
