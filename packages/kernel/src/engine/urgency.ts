/** A job's place in the order of starts. Jobs are sorted by `band`, then by `key`, lowest first. */
export interface Urgency {
  /** 0: can end within its objective. 1: late, but still useful. 2: too late to be useful. */
  readonly band: 0 | 1 | 2;
  /**
   * In band 0, the time of the objective in monotonic milliseconds plus a delay for the remaining
   * work; in the other bands, the remaining work. Reduced by a large constant for started jobs.
   */
  readonly key: number;
}
