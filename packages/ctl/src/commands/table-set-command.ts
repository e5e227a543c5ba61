import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { rowColumns } from '../table/row-columns';
import { TableEditCommand } from './table-edit-command';

/** Changes cells of one row, or adds a row. */
export class TableSetCommand extends TableEditCommand {
  static override paths = [['table', 'set']];

  static override usage = Command.Usage({
    description: 'Changes cells of one row, or adds a row when all its cells are given.',
    examples: [
      ['Raise a weight', '$0 table set label-check weight=3 --wait 8'],
      [
        'Add a row',
        '$0 table set night caller=costura kind=label-check domain=* weight=1 maxRunning=50 startsPerSecond=200 maxQueued=1000 deadlineMs=5000',
      ],
    ],
  });

  rowId = Option.String({ name: 'ROW' });

  cells = Option.Rest({ name: 'COLUMN=VALUE', required: 1 });

  override async execute(): Promise<number> {
    const asked = await this.askAgent('GET', '/v1/table');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const table = asked.body as { revision: number; rows: Record<string, string | number>[] };
    const { rowId: _rowId, ...before } = table.rows.find((row) => row.rowId === this.rowId) ?? {};
    const row: Record<string, string | number> = { ...before };
    for (const cell of this.cells) {
      const [column = '', ...rest] = cell.split('=');
      const text = rest.join('=');
      if (!(rowColumns as readonly string[]).includes(column) || text === '') {
        this.context.stderr.write(`${cell}: write COLUMN=VALUE with ${rowColumns.join(', ')}\n`);
        return exitCodes.usage;
      }
      const isName = ['caller', 'kind', 'domain'].includes(column);
      row[column] = isName ? text : Number(text);
    }
    const written = await this.askAgent('PUT', `/v1/table/rows/${this.rowId}`, {
      body: row,
      ifMatch: `"${table.revision}"`,
    });
    if ('exitCode' in written) {
      return written.exitCode;
    }
    return this.reportRevision((written.body as { revision: number }).revision);
  }
}
