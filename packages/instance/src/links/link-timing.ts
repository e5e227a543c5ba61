/** Timing of the links between instances, in milliseconds. */
export const linkTiming = {
  /** An idle side sends an empty batch this often. */
  pingIntervalMs: 100,
  /**
   * The leader starts nothing for an instance that it has not heard for so long: less than the
   * silence after which that instance hands its jobs to another leader.
   */
  startSuspensionMs: 300,
  /** A link without any message for so long is closed; several pings and a pause of the process. */
  silenceTimeoutMs: 600,
  /** A link that is not open after so long is given up; several round trips between domains. */
  openTimeoutMs: 400,
  /**
   * After a link is lost, runs for its jobs may live so long: until the leader notices the silence,
   * waits for the link to come back, stops them, and their leases lapse.
   */
  orphanedRunLifetimeMs: 2_100,
} as const;
