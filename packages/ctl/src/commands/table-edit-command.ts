import { Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { AgentCommand } from './agent-command';

const POLL_MS = 100;
const MS_PER_SECOND = 1_000;

/** The revision that each process has in force. */
interface Adoption {
  readonly processes: readonly { readonly role: string; readonly revision: number }[];
}

/** The base of commands that change the table. */
export abstract class TableEditCommand extends AgentCommand {
  wait = Option.String('--wait', {
    description: 'Wait up to so many seconds until the change is in force in every process.',
  });

  /** Reads the revision of the table as the agent has it. */
  protected async readRevision(): Promise<{ revision: number } | { exitCode: number }> {
    const asked = await this.askAgent('GET', '/v1/table');
    if ('exitCode' in asked) {
      return asked;
    }
    return { revision: (asked.body as { revision: number }).revision };
  }

  /** Prints the revision and, if asked, waits until every process has it in force. */
  protected async reportRevision(revision: number): Promise<number> {
    this.context.stdout.write(`accepted in revision ${revision}\n`);
    if (this.wait === undefined) {
      return exitCodes.done;
    }
    const endAt = Date.now() + Number(this.wait) * MS_PER_SECOND;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- polls one after the other
      const asked = await this.askAgent('GET', '/v1/table/adoption');
      if ('exitCode' in asked) {
        return asked.exitCode;
      }
      const { processes } = asked.body as Adoption;
      const late = processes.filter((process) => process.revision < revision);
      if (late.length === 0) {
        this.context.stdout.write(`in force in ${processes.length} processes\n`);
        return exitCodes.done;
      }
      if (Date.now() > endAt) {
        this.context.stderr.write(`not yet in force in ${late.length} processes; see status\n`);
        return exitCodes.notAdopted;
      }
      // eslint-disable-next-line no-await-in-loop -- polls one after the other
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
  }
}
