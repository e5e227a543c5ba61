import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import type { TimelineEvent } from '../jobs/timeline-event';
import { AgentCommand } from './agent-command';

/** The merged time line as an agent sends it. */
interface Timeline {
  readonly events: readonly TimelineEvent[];
  readonly unreachable: readonly string[];
}

/** Shows the events of all processes in order of cause and effect. */
export class TimelineCommand extends AgentCommand {
  static override paths = [['timeline']];

  static override usage = Command.Usage({
    description: 'Shows what happened, merged over all processes.',
    examples: [
      ['One job', '$0 timeline --job t1.oviedo.0011223344556677.0.00112233445566778899aabb'],
      ['The last minute', '$0 timeline --since 60'],
    ],
  });

  job = Option.String('--job', { description: 'Show only the events of this job.' });

  since = Option.String('--since', { description: 'Show only the last so many seconds.' });

  override async execute(): Promise<number> {
    const seconds = this.since === undefined ? undefined : Number(this.since);
    if (seconds !== undefined && !(seconds >= 0)) {
      this.context.stderr.write('--since: must be a number of seconds, such as 60.\n');
      return exitCodes.usage;
    }
    const sinceMs = seconds === undefined ? 0 : Date.now() - seconds * 1000;
    const job = this.job === undefined ? '' : `&job=${encodeURIComponent(this.job)}`;
    const asked = await this.askAgent('GET', `/v1/timeline?since=${sinceMs}${job}`);
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { events, unreachable } = asked.body as Timeline;
    this.printRows(
      asked.body,
      ['TIME', 'PROCESS', 'EVENT', 'DETAIL'],
      events.map((event) => [
        new Date(event.wallMs).toISOString().slice(11, -1),
        event.process,
        event.type,
        Object.entries(event.detail)
          .map(([name, value]) => `${name}=${String(value)}`)
          .join(' '),
      ]),
    );
    unreachable.forEach((address) => {
      this.context.stderr.write(`not reached, its events are missing: ${address}\n`);
    });
    return exitCodes.done;
  }
}
