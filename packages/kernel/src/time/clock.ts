/** The time source of a process. Tests replace it with a clock that they advance themselves. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  now(): number;
  /**
   * Milliseconds since the Unix epoch, for display and for stamps that are compared between
   * processes.
   */
  wall(): number;
  /** Waits the given number of milliseconds without blocking the event loop. */
  pause(ms: number): Promise<void>;
}
