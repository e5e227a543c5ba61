/** What the sender of a cancellation knows. */
export interface CancelHints {
  /** The job exists, so that it must not start if it is submitted later. */
  readonly isKnown: boolean;
  /** The leader of another part spreads and records the cancellation; only this part is asked for. */
  readonly isForwarded: boolean;
}
