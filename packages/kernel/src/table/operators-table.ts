import type { TableRow } from './table-row';

/** The operators' table at one revision. A higher revision contains every earlier accepted edit. */
export interface OperatorsTable {
  readonly revision: number;
  readonly rows: readonly TableRow[];
}
