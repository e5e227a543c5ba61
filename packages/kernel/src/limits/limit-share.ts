/** Which part of every limit of its failure domain a dispatcher holds. */
export interface LimitShare {
  /** This dispatcher's place in its failure domain, from 0; from the settings. */
  readonly index: number;
  /** How many dispatchers the failure domain has by its settings. */
  readonly count: number;
}
