/** The size of a soak run. */
export interface SoakOptions {
  /** Draws the load and the faults. */
  readonly seed: number;
  /** How long faults strike, in milliseconds; the calm after them comes on top. */
  readonly faultsMs: number;
  /** True if the run has only planned work in place of faults. */
  readonly isOrderly: boolean;
  readonly instances: number;
  readonly servers: number;
  readonly jobsPerSecond: number;
  /** True if all instances are killed at once when the faults are over. */
  readonly killsAll: boolean;
}
