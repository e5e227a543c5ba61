import { err, ok, type Result } from 'neverthrow';
import { rowColumns } from './row-columns';

/** Cells that hold names; the others hold numbers. */
const NAME_COLUMNS: ReadonlySet<string> = new Set(['rowId', 'caller', 'kind', 'domain']);

/** A row as the administration interface takes it. */
type RowCells = Record<string, string | number>;

/** Reads one line's cells; the error names line and column. */
function parseLine(line: string, number: number): Result<RowCells, string> {
  const cells = line.split(',').map((cell) => cell.trim().replace(/^"(.*)"$/, '$1'));
  if (cells.length !== rowColumns.length) {
    return err(`line ${number}: has ${cells.length} cells; ${rowColumns.length} are needed`);
  }
  const row: RowCells = {};
  for (const [index, column] of rowColumns.entries()) {
    const text = cells[index]!;
    const value = NAME_COLUMNS.has(column) ? text : Number(text);
    if (text === '' || Number.isNaN(value)) {
      return err(
        `line ${number}, ${column}: "${text}" is not a ${NAME_COLUMNS.has(column) ? 'name' : 'number'}`,
      );
    }
    row[column] = value;
  }
  return ok(row);
}

/** Reads the CSV of a table; its first line must name the columns. */
export function parseCsv(text: string): Result<RowCells[], string> {
  const [header, ...lines] = text.split(/\r?\n/).filter((line) => line.trim() !== '');
  if (header?.replaceAll('"', '') !== rowColumns.join(',')) {
    return err(`line 1: must be ${rowColumns.join(',')}`);
  }
  const rows: RowCells[] = [];
  for (const [index, line] of lines.entries()) {
    const row = parseLine(line, index + 2);
    if (row.isErr()) {
      return err(row.error);
    }
    rows.push(row.value);
  }
  return ok(rows);
}
