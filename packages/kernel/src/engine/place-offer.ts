/** A start that is possible now, and the better place that a task could wait for. */
export interface PlaceOffer {
  readonly nowMs: number;
  /** Expected end with the best start now, in monotonic milliseconds. */
  readonly startNowEndMs: number;
  /** Expected end at the better place, wait included, in monotonic milliseconds. */
  readonly waitEndMs: number;
  /** When a start was first declined, in monotonic milliseconds; now if none was. */
  readonly waitingSinceMs: number;
  /** Number of scheduling passes that have declined a start. */
  readonly declinedStarts: number;
}
