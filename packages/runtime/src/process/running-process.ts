/** A started process that can be shut down. */
export interface RunningProcess {
  /** Stops accepting work, waits for work in progress, and closes. */
  shutDown(): Promise<void>;
  /** Returns the number of requests or attempts in progress. */
  countInProgress(): number;
}
