/** An instance that has started. */
export interface RunningInstance {
  /** Hands over leadership, answers the open jobs and closes all ports and connections. */
  shutDown(): Promise<void>;
}
