/** A limit, or a part of one. */
export interface LimitAmount {
  /** Number of tasks that may run at the same time. */
  readonly running: number;
  /** Number of starts per second. */
  readonly perSecond: number;
}
