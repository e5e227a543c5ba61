/** One job to be sent at a given time, whatever became of earlier ones. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly atMs: number;
  readonly runMs: number;
  /** What the caller declares; up to three times too high or too low. */
  readonly expectedMs: number;
  readonly tasks: number;
  readonly isLong: boolean;
}
