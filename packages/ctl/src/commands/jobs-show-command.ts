import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { describeJob } from '../jobs/describe-job';
import type { TimelineEvent } from '../jobs/timeline-event';
import { AgentCommand } from './agent-command';

/** Shows where a job is, or how it ended. */
export class JobsShowCommand extends AgentCommand {
  static override paths = [['jobs', 'show']];

  static override usage = Command.Usage({
    description: 'Shows where a job is, or how it ended, from the time line of all processes.',
    details:
      'Processes remember their latest events only, so an old job may not be seen any more. ' +
      'Ends with code 1 if no process that was reached remembers the job.',
    examples: [
      ['One job', '$0 jobs show t1.oviedo.0011223344556677.0.00112233445566778899aabb'],
      ['All its events', '$0 timeline --job t1.oviedo.0011223344556677.0.00112233445566778899aabb'],
    ],
  });

  job = Option.String({ name: 'ID' });

  override async execute(): Promise<number> {
    const path = `/v1/timeline?since=0&job=${encodeURIComponent(this.job)}`;
    const asked = await this.askAgent('GET', path);
    if ('exitCode' in asked) {
      return asked.exitCode;
    }
    const { events, unreachable } = asked.body as {
      events: readonly TimelineEvent[];
      unreachable: readonly string[];
    };
    const summary = describeJob(events);
    const received =
      summary.receivedAtMs === undefined ? '' : new Date(summary.receivedAtMs).toISOString();
    this.printRows(
      { id: this.job, ...summary, unreachable },
      ['FIELD', 'VALUE'],
      [
        ['id', this.job],
        ['state', summary.state],
        ['outcome', summary.outcome],
        ['caller', summary.caller],
        ['owner', summary.owner],
        ['received', received],
        ['took', summary.tookMs === undefined ? '' : `${summary.tookMs} ms`],
        ['tasks', String(summary.tasks)],
        ['starts', String(summary.starts)],
        ['answers', String(summary.answers)],
      ],
    );
    unreachable.forEach((address) => {
      this.context.stderr.write(`not reached, its events are missing: ${address}\n`);
    });
    return summary.state === 'unseen' ? exitCodes.refused : exitCodes.done;
  }
}
