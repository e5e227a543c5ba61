import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { AgentClient } from '../http/agent-client';

const CONFLICT_STATUS = 412;
const FIRST_ERROR_STATUS = 400;

/** Formats rows of text as aligned columns. */
function formatColumns(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_cell, column) =>
    Math.max(...rows.map((row) => row[column]!.length)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** The base of every command that asks an agent. */
export abstract class AgentCommand extends Command {
  agent = Option.String('--agent', {
    env: 'GUAVACTL_AGENT',
    required: true,
    description: "An agent's URL, such as http://127.0.0.1:9100; or set GUAVACTL_AGENT.",
  });

  key = Option.String('--key', {
    env: 'GUAVACTL_KEY',
    required: true,
    description: 'Your operator key; GUAVACTL_KEY keeps it out of the process list.',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON for scripts.' });

  /** Sends a request and prints any failure; the body, or the exit code to end with. */
  protected async askAgent(
    method: 'GET' | 'PUT' | 'DELETE' | 'POST',
    path: string,
    options: { body?: unknown; ifMatch?: string } = {},
  ): Promise<{ body: unknown } | { exitCode: number }> {
    const sent = await new AgentClient(this.agent, this.key).sendRequest(method, path, options);
    if (sent.isErr()) {
      this.context.stderr.write(`${sent.error}\n`);
      return { exitCode: exitCodes.unreachable };
    }
    const { status, body } = sent.value;
    if (status < FIRST_ERROR_STATUS) {
      return { body };
    }
    const { title, detail } = body as { title?: string; detail?: string };
    this.context.stderr.write(`${title ?? `status ${status}`}: ${detail ?? ''}\n`);
    return { exitCode: status === CONFLICT_STATUS ? exitCodes.conflict : exitCodes.refused };
  }

  /** Prints JSON for scripts, or columns for people. */
  protected printRows(value: unknown, header: readonly string[], rows: readonly string[][]): void {
    const text = this.json ? JSON.stringify(value, null, 2) : formatColumns([header, ...rows]);
    this.context.stdout.write(`${text}\n`);
  }
}
