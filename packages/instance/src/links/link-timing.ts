/** Timing of the links between instances, in milliseconds. */
export const linkTiming = {
  /** Interval at which an idle side sends an empty batch. */
  pingIntervalMs: 100,
  /**
   * The leader starts no tasks for an entry instance from which no message has arrived for this long.
   * Shorter than the silence after which that instance submits its jobs to another leader.
   */
  startSuspensionMs: 300,
  /** A link without any message for this long is closed; covers several pings and a process pause. */
  silenceTimeoutMs: 600,
  /** Timeout for opening a link; covers several round trips between domains. */
  openTimeoutMs: 400,
  /**
   * How long prior runs may stay alive after their jobs' entry instance has lost its leader.
   * In this time the leader notices the silence, waits for the link to be reopened and stops the
   * runs, and their leases expire.
   */
  priorRunLifetimeMs: 2_100,
} as const;
