import { Command } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { AgentCommand } from './agent-command';

/** One accepted edit as the agent sends it. */
interface Edit {
  readonly revision: number;
  readonly rowId: string;
  readonly operator: string;
  readonly atMs: number;
  readonly before: Readonly<Record<string, unknown>> | null;
  readonly after: Readonly<Record<string, unknown>> | null;
}

/** Describes what an edit changed. */
function describeEdit({ before, after }: Edit): string {
  if (after === null) {
    return 'deleted';
  }
  if (before === null) {
    return 'added';
  }
  return Object.keys(after)
    .filter((column) => after[column] !== before[column])
    .map((column) => `${column}: ${String(before[column])} -> ${String(after[column])}`)
    .join(', ');
}

/** Shows who changed what in the table. */
export class TableHistoryCommand extends AgentCommand {
  static override paths = [['table', 'history']];

  static override usage = Command.Usage({
    description: 'Shows the newest edits of the table.',
    examples: [['All kept edits', '$0 table history']],
  });

  override async execute(): Promise<number> {
    const asked = await this.askAgent('GET', '/v1/table/history');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { edits } = asked.body as { edits: Edit[] };
    this.printRows(
      asked.body,
      ['REVISION', 'TIME', 'OPERATOR', 'ROW', 'CHANGE'],
      edits.map((edit) => [
        String(edit.revision),
        new Date(edit.atMs).toISOString(),
        edit.operator,
        edit.rowId,
        describeEdit(edit),
      ]),
    );
    return exitCodes.done;
  }
}
