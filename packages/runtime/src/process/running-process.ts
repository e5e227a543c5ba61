/** A process that is up and can be shut down. */
export interface RunningProcess {
  /** Stops taking work, waits for what is in progress, and closes. */
  shutDown(): Promise<void>;
  /** Requests or attempts in progress now. */
  countInProgress(): number;
}
