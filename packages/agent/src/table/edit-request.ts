import type { TableRow } from '@guavaspindle/kernel/table/table-row';

/** An operator's wish to change one row. */
export interface EditRequest {
  readonly editId: string;
  readonly operator: string;
  readonly rowId: string;
  /** The new row, or null to delete it. */
  readonly after: TableRow | null;
  /** The revision that the operator had seen. */
  readonly seenRevision: number;
}
