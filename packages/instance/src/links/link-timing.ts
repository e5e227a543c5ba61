/** Timing of the links between instances, in milliseconds. */
export const linkTiming = {
  /** Interval of the pings of an entry instance with open jobs at the leader. */
  pingIntervalMs: 200,
  /** The same while it has none: nobody waits for the leader's answer. */
  idlePingIntervalMs: 500,
  /** Interval of the empty batches to a leader of an earlier build, which does not read pings. */
  batchPingIntervalMs: 100,
  /** Interval at which a leader looks for links that have fallen silent. */
  silenceCheckIntervalMs: 100,
  /**
   * The leader starts no tasks for an entry instance from which no message has arrived for this long.
   * Shorter than the silence after which that instance submits its jobs to another leader.
   */
  startSuspensionMs: 400,
  /**
   * A link is closed by the entry instance after this time without an answer to a ping, and by the leader
   * after this time without a message; covers a process pause.
   */
  silenceTimeoutMs: 600,
  /** The same at the leader for an entry instance without open jobs; covers two pings. */
  idleSilenceTimeoutMs: 1_200,
  /** A leader counts as heard while no ping has been unanswered for longer than this. */
  heardTimeoutMs: 300,
  /** Timeout for opening a link; covers several round trips between domains. */
  openTimeoutMs: 400,
  /**
   * How long prior runs may stay alive after their jobs' entry instance has lost its leader.
   * In this time the leader notices the silence, waits for the link to be reopened and stops the
   * runs, and their leases expire.
   */
  priorRunLifetimeMs: 2_100,
} as const;
