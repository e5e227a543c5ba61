/** What a session with a server needs of the pool. */
export interface SessionOptions {
  /** Longest lease of a run, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Longest time that a stop takes, in milliseconds. */
  readonly stopTimeoutMs: number;
  /** The token that goes with every order. */
  fencingToken(): number;
  /** The engine's state has changed. */
  onChange(): void;
  /** The server has answered with the current token. */
  onConfirmed(): void;
  /** The server runs what this leader has not ordered. */
  onUnknownRun(): void;
  /** A server has seen a higher token. */
  onFenced(): void;
}
