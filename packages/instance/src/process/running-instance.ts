/** An instance that is up. */
export interface RunningInstance {
  /** Hands the lead over, answers what is open and closes. */
  shutDown(): Promise<void>;
}
