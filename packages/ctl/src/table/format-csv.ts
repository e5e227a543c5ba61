/** Formats rows as CSV. The table's cells are names and numbers, which need no quotes. */
export function formatCsv(rows: readonly (readonly string[])[]): string {
  return rows.map((row) => `${row.join(',')}\n`).join('');
}
