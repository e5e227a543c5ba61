/** Why a task that fits on a server now waits for a better place. */
export interface PlaceWait {
  /** Expected end with the start that was declined first, in monotonic milliseconds. */
  readonly declinedEndMs: number;
  /** Expected end at the better place when the wait began, in monotonic milliseconds. */
  readonly expectedEndMs: number;
  /** The wait ends at this time at the latest, in monotonic milliseconds. */
  readonly untilMs: number;
  readonly sinceMs: number;
  /** Number of scheduling passes that declined a start. */
  declinedStarts: number;
  /** True once the wait was given up: the task takes the best place that is free. */
  isGivenUp: boolean;
}
