import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { formatCsv } from '../table/format-csv';
import { rowColumns } from '../table/row-columns';
import { AgentCommand } from './agent-command';

/** Shows the operators' table. */
export class TableGetCommand extends AgentCommand {
  static override paths = [['table', 'get']];

  static override usage = Command.Usage({
    description: "Shows the operators' table.",
    examples: [
      ['For people', '$0 table get'],
      ['For a spreadsheet', '$0 table get --csv > table.csv'],
    ],
  });

  csv = Option.Boolean('--csv', false, { description: 'Print CSV, as table import reads it.' });

  override async execute(): Promise<number> {
    const asked = await this.askAgent('GET', '/v1/table');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { rows } = asked.body as { rows: Record<string, string | number>[] };
    const cells = rows.map((row) => rowColumns.map((column) => String(row[column])));
    if (this.csv) {
      this.context.stdout.write(formatCsv([rowColumns, ...cells]));
      return exitCodes.done;
    }
    this.printRows(
      asked.body,
      rowColumns.map((column) => column.toUpperCase()),
      cells,
    );
    return exitCodes.done;
  }
}
