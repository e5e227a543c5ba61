/** Timing of the mirrors of the platform's store, in milliseconds. */
export const mirrorTiming = {
  /**
   * Longest wait of one watch. A watch without an answer is detected after this time plus the client's
   * slack. Together they stay below the two seconds within which a configuration has to be in force.
   */
  maxWatchWaitMs: 700,
  /** Delay after a failed call; doubles with each further failure up to the maximum. */
  initialRetryDelayMs: 50,
  maxRetryDelayMs: 800,
  /** The same maximum for the configuration, which has to be in force soon after an outage. */
  maxConfigurationRetryDelayMs: 200,
} as const;
