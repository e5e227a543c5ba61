/** Where a process reads time. Tests replace it by a clock that they move themselves. */
export interface Clock {
  /** Monotonic milliseconds; the origin is arbitrary. */
  now(): number;
  /** Milliseconds since the Unix epoch, for people and for stamps between processes. */
  wall(): number;
  /** Waits so many milliseconds without blocking the loop. */
  pause(ms: number): Promise<void>;
}
