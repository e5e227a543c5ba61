import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { compareRows } from '../table/compare-rows';
import { readCsvFile } from '../table/read-csv-file';
import type { RowChange } from '../table/row-change';
import { AgentCommand } from './agent-command';

/** Describes a change for people. */
function describeChange(change: RowChange): string {
  switch (change.type) {
    case 'only-in-file':
      return 'new: import would add it';
    case 'only-in-table':
      return 'not in the file: import leaves it as it is';
    case 'changed':
      return change.cells.join(', ');
    default:
      return change satisfies never;
  }
}

/** Compares a CSV file with the present table. */
export class TableDiffCommand extends AgentCommand {
  static override paths = [['table', 'diff']];

  static override usage = Command.Usage({
    description: 'Shows what importing a CSV file would change.',
    details: 'Ends with code 6 if anything differs, so that scripts can tell.',
    examples: [['Before an import', '$0 table diff table.csv']],
  });

  file = Option.String({ name: 'FILE' });

  override async execute(): Promise<number> {
    const wanted = readCsvFile(this.file);
    if (wanted.isErr()) {
      this.context.stderr.write(`${wanted.error}\n`);
      return exitCodes.usage;
    }
    const asked = await this.askAgent('GET', '/v1/table');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { rows } = asked.body as { rows: Record<string, string | number>[] };
    const changes = compareRows(rows, wanted.value);
    this.printRows(
      changes,
      ['ROWID', 'CHANGE'],
      changes.map((change) => [change.rowId, describeChange(change)]),
    );
    return changes.length === 0 ? exitCodes.done : exitCodes.differs;
  }
}
