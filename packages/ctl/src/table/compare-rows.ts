import type { RowChange } from './row-change';
import { rowColumns } from './row-columns';

type RowCells = Readonly<Record<string, string | number>>;

/** Describes the cells that differ, as `column: present -> in the file`. */
function describeCells(present: RowCells, wanted: RowCells): string[] {
  return rowColumns
    .filter((column) => present[column] !== wanted[column])
    .map((column) => `${column}: ${present[column]} -> ${wanted[column]}`);
}

/** Compares the rows of a file with those of the present table, by row id. */
export function compareRows(
  present: readonly RowCells[],
  wanted: readonly RowCells[],
): RowChange[] {
  const presentById = new Map(present.map((row) => [String(row.rowId), row]));
  const wantedIds = new Set(wanted.map((row) => String(row.rowId)));
  const changes = wanted.flatMap((row): RowChange[] => {
    const rowId = String(row.rowId);
    const before = presentById.get(rowId);
    if (before === undefined) {
      return [{ type: 'only-in-file', rowId }];
    }
    const cells = describeCells(before, row);
    return cells.length === 0 ? [] : [{ type: 'changed', rowId, cells }];
  });
  const missing = [...presentById.keys()]
    .filter((rowId) => !wantedIds.has(rowId))
    .map((rowId): RowChange => ({ type: 'only-in-table', rowId }));
  return [...changes, ...missing];
}
