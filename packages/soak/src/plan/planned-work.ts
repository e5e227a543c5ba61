/** Work of the operators; no request may be lost by it. */
export type PlannedWork =
  /**
   * The process is asked to shut down, perhaps twice, and starts again when it has. `fromLeader`: the
   * instance is counted from the one that leads at this time. `onlyOnce`: left out if the process is
   * shutting down already.
   */
  | {
      readonly kind: 'shutdown';
      readonly instance: number;
      readonly fromLeader?: boolean;
      readonly againMs?: number | undefined;
      readonly onlyOnce?: boolean;
    }
  /** The process is told that its settings file has changed. */
  | { readonly kind: 'hang-up'; readonly instance: number }
  /** The operator writes a configuration. */
  | { readonly kind: 'configuration'; readonly text: string }
  /** Callers send so many times as many jobs. */
  | { readonly kind: 'burst'; readonly factor: number };
