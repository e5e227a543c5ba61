import type { WaitRule } from './wait-rule';

/** Options of the placement by expected end. */
export interface LocalityOptions {
  /** Run time outside the preferred rack relative to that inside. */
  readonly remoteFactor: number;
  /** By default, tasks wait while the expected end at the better place is earlier. */
  readonly waitRule?: WaitRule;
}
