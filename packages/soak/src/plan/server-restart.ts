/** A crash of a backend server, which is soon back under its id and address. */
export interface ServerRestart {
  readonly server: number;
  /** Milliseconds from the beginning of the fault. */
  readonly afterMs: number;
  readonly downMs: number;
}
