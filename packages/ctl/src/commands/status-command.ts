import { Command } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { AgentCommand } from './agent-command';

/** The part of an agent's status that is shown. */
interface Status {
  readonly members: readonly {
    readonly role: string;
    readonly domain: string;
    readonly address: string;
    readonly pid: number;
    readonly draining: boolean;
    readonly tableRevision: number;
    readonly backlogMs: number;
  }[];
}

/** Shows the processes that an agent knows. */
export class StatusCommand extends AgentCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Shows the live processes, their table revision and their backlog.',
    examples: [['All processes', '$0 status --agent http://127.0.0.1:9100']],
  });

  override async execute(): Promise<number> {
    const asked = await this.askAgent('GET', '/v1/status');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { members } = asked.body as Status;
    this.printRows(
      asked.body,
      ['ROLE', 'DOMAIN', 'ADDRESS', 'PID', 'STATE', 'TABLE', 'BACKLOG'],
      members.map((member) => [
        member.role,
        member.domain,
        member.address,
        String(member.pid),
        member.draining ? 'draining' : 'serving',
        String(member.tableRevision),
        `${member.backlogMs} ms`,
      ]),
    );
    return exitCodes.done;
  }
}
