import { createLogger } from 'bunyan';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import { watchFatalErrors } from '@guavaspindle/runtime/process/watch-fatal-errors';
import { buildInstance } from '../build-instance';
import { BoundedLogStream } from '../process/bounded-log-stream';
import { buildFaultHandler } from '../process/build-fault-handler';
import { readSettingsFile } from '../process/read-settings-file';
import type { RunningInstance } from '../process/running-instance';
import { parseJobLimits } from './parse-job-limits';
import { WarmUpCommand } from './warm-up-command';

const NAME = 'guavaspindle-instance';
const VERSION = '0.1.0';
const SETTINGS_VARIABLE = 'GUAVASPINDLE_SETTINGS';
const EXIT_START_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

class StartCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'An entry instance on the users’ platform.',
    examples: [['Check the settings file and exit', `$0 --settings settings.toml --check`]],
  });

  settings = Option.String('--settings', {
    env: SETTINGS_VARIABLE,
    description: `The platform's settings file; ${SETTINGS_VARIABLE} names it otherwise.`,
  });

  maxJobItems = Option.String('--max-job-items', String(defaultJobLimits.maxJobItems), {
    description: 'Largest number of tasks, and of references between steps, of one job.',
  });

  maxOpenItems = Option.String('--max-open-items', String(defaultJobLimits.maxOpenItems), {
    description:
      'The same for all open jobs of an instance, and of the part of the servers that it leads.',
  });

  check = Option.Boolean('--check', false, { description: 'Check the settings and exit.' });

  override async execute(): Promise<number | undefined> {
    const path = this.settings;
    if (path === undefined) {
      this.context.stderr.write(`no settings file given: set --settings or ${SETTINGS_VARIABLE}\n`);
      return EXIT_BAD_SETTINGS;
    }
    const settings = readSettingsFile(path);
    if (settings.isErr()) {
      this.context.stderr.write(`${settings.error}\n`);
      return EXIT_BAD_SETTINGS;
    }
    const jobLimits = parseJobLimits(this.maxJobItems, this.maxOpenItems);
    if (jobLimits.isErr()) {
      this.context.stderr.write(`${jobLimits.error}\n`);
      return EXIT_BAD_SETTINGS;
    }
    if (this.check) {
      this.context.stdout.write(`${path}: the settings are in order.\n`);
      return 0;
    }
    const log = createLogger({
      name: NAME,
      instance: settings.value.name,
      streams: [{ stream: new BoundedLogStream(process.stdout) as never, level: 'info' }],
    });
    let instance: RunningInstance | undefined;
    watchFatalErrors(
      log,
      process,
      buildFaultHandler(
        () => instance,
        (code) => process.exit(code),
      ),
    );
    // Before the ports open, and for good: the default action of either signal ends the process.
    const terminated = new Promise<void>((resolve) => {
      process.on('SIGTERM', () => resolve());
    });
    process.on('SIGHUP', () => {
      const changed = readSettingsFile(path);
      log.info(
        { isValid: changed.isOk() },
        'settings file read again; changes take effect after a restart',
      );
    });
    instance = await buildInstance(settings.value, log, jobLimits.value);
    await terminated;
    log.info({ signal: 'SIGTERM' }, 'shutdown begins');
    await instance.shutDown();
    return 0;
  }
}

const cli = new Cli({ binaryName: NAME, binaryLabel: NAME, binaryVersion: VERSION });
cli.register(StartCommand);
cli.register(WarmUpCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli
  .run(process.argv.slice(2))
  .then((code) => process.exit(code))
  .catch((error: unknown) => {
    process.stderr.write(`${NAME} cannot start: ${(error as Error).message}\n`);
    process.exit(EXIT_START_FAILED);
  });
