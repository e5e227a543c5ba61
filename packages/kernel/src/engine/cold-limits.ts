/**
 * Limits of the starts on a cold server: `overrun` times the mean number of starts of the cold servers of
 * its service, plus `slack`.
 */
export interface ColdLimits {
  readonly overrun: number;
  readonly slack: number;
}
