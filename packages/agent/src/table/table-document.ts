import type { StoredRow } from './stored-row';
import type { TableEdit } from './table-edit';

/** The operators' table as it stands in the store. */
export interface TableDocument {
  readonly revision: number;
  readonly rows: readonly StoredRow[];
  /** The newest edits, oldest first. */
  readonly edits: readonly TableEdit[];
}
