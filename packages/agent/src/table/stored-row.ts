import type { TableRow } from '@guavaspindle/kernel/table/table-row';

/** A row as the store keeps it. */
export interface StoredRow extends TableRow {
  /** Revision of the edit that last changed the row. */
  readonly changedIn: number;
}
