import { Command } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { AgentCommand } from './agent-command';

/** Shuts down the processes of one instance gracefully. */
export class DrainCommand extends AgentCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: "Shuts down the gateway and dispatcher of the agent's instance gracefully.",
    details: 'Requests in progress are answered first; new work goes to other instances.',
    examples: [['Drain one instance', '$0 drain --agent http://127.0.0.1:9100']],
  });

  override async execute(): Promise<number> {
    const asked = await this.askAgent('POST', '/v1/drain');
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { processes } = asked.body as {
      processes: { role: string; incarnation: string; draining: boolean }[];
    };
    this.printRows(
      asked.body,
      ['ROLE', 'INCARNATION', 'STATE'],
      processes.map(({ role, incarnation, draining }) => [
        role,
        incarnation,
        draining ? 'draining' : 'not reached',
      ]),
    );
    return exitCodes.done;
  }
}
