/** An instance that has started. */
export interface RunningInstance {
  /** Hands over leadership, answers the open jobs and closes all ports and connections. */
  shutDown(): Promise<void>;
  /**
   * Ends all orders and answers the callers, since the state of the process cannot be relied on any more. Resolves
   * when the answers have left the process, or after a short time.
   */
  abandonCallers(): Promise<void>;
}
