import type { KindName } from '../ids/kind-name';
import type { OperatorsTable } from './operators-table';

/** Returns whether any row names the kind exactly. A row with `*` does not make a kind known. */
export function hasKind(table: OperatorsTable, kind: KindName): boolean {
  return table.rows.some((row) => row.kind === kind);
}
