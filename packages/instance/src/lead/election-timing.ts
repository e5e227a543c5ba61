/** Timing of the leader election, in milliseconds. */
export const electionTiming = {
  /** Interval between election steps; a change of the registry triggers a step at once. */
  checkIntervalMs: 20,
  /** The same while the instance has a link to the leader; its loss triggers a step too. */
  connectedCheckIntervalMs: 1_000,
  /** The same while the instance leads: it looks for a better suited one, or for a way back. */
  leadingCheckIntervalMs: 250,
  /** The same for a part to which no link is needed; a job that needs one triggers a step too. */
  unneededCheckIntervalMs: 5_000,
  /** Timeout for fetching another instance's view of the leader; covers several round trips. */
  viewTimeoutMs: 200,
  /** Delay of a candidate for each one sorted before it, so that usually only one writes a claim. */
  candidateDelayMs: 30,
  /** Delay after an attempt that neither reached a leader nor made this instance one. */
  retryDelayMs: 60,
  /** Delay after an instance that may not lead a part has not reached the part's leader. */
  observerRetryDelayMs: 150,
  /** Interval at which a leader checks whether a better suited instance could take over. */
  handoverCheckIntervalMs: 2_000,
  /** A better suited instance must have been connected for this long before it takes over. */
  stableConnectionMs: 3_000,
  /** Minimum time between two writes of the same kind to the store. */
  minWriteIntervalMs: 300,
  /** Interval at which the leader of a cut-off domain checks whether it can rejoin the others. */
  rejoinIntervalMs: 200,
  /** A domain leader whose orders were fenced does not lead its domain again for this long. */
  fencedBackoffMs: 1_000,
  /** A leader that was replaced in order learns that from the store and ends its links within this time. */
  lastMessagesTimeoutMs: 100,
  lastMessagesCheckMs: 5,
  /** A leader that shuts down waits at most this long for another instance to take over. */
  handoverTimeoutMs: 1_500,
  /** The same at the end of the shutdown, if nobody has taken over before; covers the delays of candidates. */
  lastHandoverTimeoutMs: 200,
} as const;
