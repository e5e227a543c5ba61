/** Timing of finding and replacing the leader, in milliseconds. */
export const electionTiming = {
  /** The state of the lead is looked at this often, and after each change of the registry. */
  checkIntervalMs: 20,
  /** Others are asked for their view of the leader for so long; several round trips. */
  viewTimeoutMs: 200,
  /** A leader counts as heard if it was heard within this time; a few pings. */
  heardTimeoutMs: 300,
  /** Candidates wait this long for each one before them, so that one write usually suffices. */
  candidateDelayMs: 30,
  /** Pause after an attempt that found neither a leader nor a way to become one. */
  retryDelayMs: 60,
  /** Least time between two writes of the same kind. */
  minWriteIntervalMs: 300,
  /** While it leads its own domain alone, an instance looks for the others this often. */
  rejoinIntervalMs: 200,
  /** An instance whose orders were fenced does not lead its domain again for so long. */
  fencedBackoffMs: 1_000,
  /** A leader that shuts down waits this long for another one. */
  handoverTimeoutMs: 1_500,
} as const;
