/** Identifies the fixed share of every limit of its failure domain that a dispatcher holds. */
export interface LimitShare {
  /** Zero-based position of this dispatcher in its failure domain, by the settings. */
  readonly index: number;
  /** Number of dispatchers in the failure domain, by the settings. */
  readonly count: number;
}
