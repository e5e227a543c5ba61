/* eslint-disable no-await-in-loop -- one seed after the other */
import { Builtins, Cli, Command, Option } from 'clipanion';
import { runSoak } from '../run-soak';

/** Seeds of the command line are kept below this, so that their addresses exist. */
const MOST_SEEDS = 1_000;

class SoakCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Run instances under random faults and check the promises.',
    examples: [['Fifty seeds', '$0 --seed 1 --seeds 50']],
  });

  seed = Option.String('--seed', '1', { description: 'The first seed.' });

  seeds = Option.String('--seeds', '1', { description: 'How many seeds, one after the other.' });

  seconds = Option.String('--seconds', '20', { description: 'How long faults strike.' });

  instances = Option.String('--instances', '5', { description: 'Instances, as processes.' });

  servers = Option.String('--servers', '9', { description: 'Backend servers.' });

  rate = Option.String('--rate', '20', { description: 'Jobs a second.' });

  killsAll = Option.Boolean('--kill-all', false, {
    description: 'Kill all instances at once when the faults are over.',
  });

  orderly = Option.Boolean('--orderly', false, {
    description: 'Only planned work: restarts, signals, changes of the configuration, bursts.',
  });

  override async execute(): Promise<number> {
    const first = Number(this.seed);
    const count = Math.min(MOST_SEEDS, Number(this.seeds));
    let brokenSeeds = 0;
    for (let seed = first; seed < first + count; seed += 1) {
      const report = await runSoak({
        seed,
        faultsMs: Number(this.seconds) * 1_000,
        isOrderly: this.orderly,
        instances: Number(this.instances),
        servers: Number(this.servers),
        jobsPerSecond: Number(this.rate),
        killsAll: this.killsAll,
      });
      brokenSeeds += report.broken.length > 0 ? 1 : 0;
      this.context.stdout.write(`${JSON.stringify(report)}\n`);
    }
    this.context.stdout.write(`${count} seeds, ${brokenSeeds} with a promise broken\n`);
    return brokenSeeds > 0 ? 1 : 0;
  }
}

const cli = new Cli({ binaryName: 'soak', binaryLabel: 'guavaspindle soak' });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
void cli.runExit(process.argv.slice(2));
