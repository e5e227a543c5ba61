/** Timing of finding and replacing the leader, in milliseconds. */
export const leadTiming = {
  /** The state of the lead is looked at this often, and after each change of the registry. */
  stepMs: 20,
  /** Others are asked for their view of the leader for so long; several round trips. */
  viewMs: 200,
  /** A leader counts as heard if it was heard within this time; a few pings. */
  heardMs: 300,
  /** Candidates wait this long for each one before them, so that one write usually suffices. */
  rankMs: 30,
  /** Pause after an attempt that found neither a leader nor a way to become one. */
  retryMs: 60,
  /** Least time between two writes of the same kind. */
  writePauseMs: 300,
  /** While it leads its own domain alone, an instance looks for the others this often. */
  seekMs: 200,
  /** An instance whose orders were fenced does not lead its domain again for so long. */
  yieldMs: 1_000,
  /** A leader that shuts down waits this long for another one. */
  handOverMs: 1_500,
} as const;
