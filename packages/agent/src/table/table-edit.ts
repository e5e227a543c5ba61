import type { TableRow } from '@guavaspindle/kernel/table/table-row';

/** One accepted edit, kept for history and to settle writes whose answer was lost. */
export interface TableEdit {
  readonly editId: string;
  readonly revision: number;
  readonly rowId: string;
  readonly operator: string;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly before: TableRow | null;
  readonly after: TableRow | null;
}
