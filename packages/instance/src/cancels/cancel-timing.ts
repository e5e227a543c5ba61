/** Timing of cancellations, in milliseconds. */
export const cancelTiming = {
  /** An answer to the caller leaves the instance this long before the caller's timeout. */
  answerMarginMs: 500,
  /**
   * How long a part of another failure domain may be without a reachable leader before a cancellation is
   * acknowledged without it. Covers an election. A leader that is frozen for 4 s resumes less than the
   * 3 s later in which a task may still start, and learns the cancellation when it is linked to again.
   */
  remotePartGraceMs: 1_500,
  /**
   * Minimum time between two rounds of messages to the leaders of the other parts: in a wave, one message
   * a round carries all cancellations.
   */
  forwardIntervalMs: 100,
  /** A cancellation that other leaders have not confirmed after this time is not acknowledged. */
  forwardTimeoutMs: 5_500,
  /** If the store has not taken a cancellation after this time, the instances' memory has to do. */
  storeTimeoutMs: 1_000,
  /** Minimum time between two writes of a part's cancellations, which bounds the writes a second. */
  writeIntervalMs: 100,
  /** Pause after a store call that failed. */
  retryDelayMs: 100,
  /** A new leader that cannot read the cancellations from the store starts tasks after this time. */
  readTimeoutMs: 1_000,
  /** Interval at which a leader tells its entry instances of new cancellations. */
  reportIntervalMs: 100,
} as const;
