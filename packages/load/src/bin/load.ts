import { writeFileSync } from 'node:fs';
import { Cli, Command, Option } from 'clipanion';
import { todaysDeployment } from '../deployment/todays-deployment';
import { buildPlot } from '../load/build-plot';
import { comparePolicies } from '../load/compare-policies';
import { formatReports } from '../load/format-report';

/** Reads a number from the command line. */
function readNumber(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new Error(`--${name}: must be a number of 0 or more, got "${text}".`);
  }
  return value;
}

/** Runs a load against deployments on loopback and reports the users' measures. */
class LoadCommand extends Command {
  static override usage = Command.Usage({
    description: 'Sends jobs in open loop from a seed and reports the measures of the brief.',
    examples: [
      [
        'Short jobs behind long ones, against the baseline',
        '$0 --compare fair,assigned fifo,random',
      ],
      ['A crest of four times the capacity', '$0 --utilisation 0.7 --crest 4 --crest-seconds 10'],
    ],
  });

  compare = Option.String('--compare', { tolerateBoolean: true, hidden: true });

  policies = Option.Rest();

  seed = Option.String('--seed', '1', { description: 'Seed of the arrivals.' });

  seconds = Option.String('--seconds', '20', { description: 'Length of the run.' });

  utilisation = Option.String('--utilisation', '0.7', {
    description: 'Offered part of the slots.',
  });

  tasks = Option.String('--tasks', '5', { description: 'Tasks a job.' });

  shortMs = Option.String('--short-ms', '50', { description: 'Run time of a short task.' });

  longPart = Option.String('--long-part', '0.05', { description: 'Part of jobs with long tasks.' });

  longFactor = Option.String('--long-factor', '20', { description: 'Long over short run time.' });

  crest = Option.String('--crest', '1', { description: 'Factor on arrivals in the crest.' });

  crestSeconds = Option.String('--crest-seconds', '0', { description: 'Length of the crest.' });

  deadlineMs = Option.String('--deadline-ms', '10000', { description: 'Deadline of each job.' });

  domains = Option.String('--domains', '3', { description: 'Failure domains, 1 to 3.' });

  instances = Option.String('--instances', '2', { description: 'Entry instances a domain.' });

  servers = Option.String('--servers', '10', { description: 'Backend servers a domain.' });

  slots = Option.String('--slots', '8', { description: 'Slots a backend server.' });

  rounds = Option.String('--rounds', '2', {
    description: 'Runs of each policy; every other round in the opposite order.',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON.' });

  plot = Option.String('--plot', { description: 'Write an SVG of the answers over time here.' });

  override async execute(): Promise<number> {
    const shape = {
      ...todaysDeployment,
      domains: todaysDeployment.domains.slice(0, readNumber('domains', this.domains)),
      instancesPerDomain: readNumber('instances', this.instances),
      serversPerDomain: readNumber('servers', this.servers),
      slotsPerServer: readNumber('slots', this.slots),
      keepStarts: false,
    };
    const options = {
      seed: readNumber('seed', this.seed),
      seconds: readNumber('seconds', this.seconds),
      utilisation: readNumber('utilisation', this.utilisation),
      tasksPerJob: readNumber('tasks', this.tasks),
      shortMs: readNumber('short-ms', this.shortMs),
      longPart: readNumber('long-part', this.longPart),
      longFactor: readNumber('long-factor', this.longFactor),
      crest: readNumber('crest', this.crest),
      crestSeconds: readNumber('crest-seconds', this.crestSeconds),
      deadlineMs: readNumber('deadline-ms', this.deadlineMs),
    };
    const named = [...(typeof this.compare === 'string' ? [this.compare] : []), ...this.policies];
    const policies = named.length === 0 ? ['fair,assigned'] : [...new Set(named)];
    const rounds = Math.max(1, Math.floor(readNumber('rounds', this.rounds)));
    const reports = await comparePolicies(policies, shape, options, rounds);
    const text = this.json ? JSON.stringify(reports, null, 2) : formatReports(reports);
    this.context.stdout.write(`${text}\n`);
    if (this.plot !== undefined) {
      writeFileSync(this.plot, buildPlot(reports));
    }
    return 0;
  }
}

const cli = new Cli({ binaryName: 'npm run load --' });
cli.register(LoadCommand);
cli.runExit(process.argv.slice(2)).catch(() => process.exit(1));
