import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { readCsvFile } from '../table/read-csv-file';
import { TableEditCommand } from './table-edit-command';

/** Writes the rows of a CSV file into the table. */
export class TableImportCommand extends TableEditCommand {
  static override paths = [['table', 'import']];

  static override usage = Command.Usage({
    description: 'Writes the rows of a CSV file into the table; other rows stay as they are.',
    details: 'A row that somebody changed since the revision seen ends the import with code 4.',
    examples: [['Import and wait until in force', '$0 table import table.csv --wait 8']],
  });

  file = Option.String({ name: 'FILE' });

  seen = Option.String('--seen', {
    description: 'The revision that the file was made from; without it, the present one.',
  });

  override async execute(): Promise<number> {
    const read = readCsvFile(this.file);
    if (read.isErr()) {
      this.context.stderr.write(`${read.error}\n`);
      return exitCodes.usage;
    }
    const present = await this.readRevision();
    if ('exitCode' in present) {
      return present.exitCode;
    }
    const seen = this.seen ?? String(present.revision);
    let { revision } = present;
    for (const { rowId, ...cells } of read.value) {
      // eslint-disable-next-line no-await-in-loop -- rows are written one after the other
      const asked = await this.askAgent('PUT', `/v1/table/rows/${rowId}`, {
        body: cells,
        ifMatch: `"${seen}"`,
      });
      if ('exitCode' in asked) {
        this.context.stderr.write(`row ${rowId} and those after it were not written\n`);
        return asked.exitCode;
      }
      revision = (asked.body as { revision: number }).revision;
    }
    return this.reportRevision(revision);
  }
}
