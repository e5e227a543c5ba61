import { readFileSync } from 'node:fs';
import { Builtins, Cli, Command, Option } from 'clipanion';
import type { z } from 'zod';
import { formatSettingsErrors } from '../settings/format-settings-errors';
import { parseSettings } from '../settings/parse-settings';

const VERSION = '0.1.0';
const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 1;

/** The name, help text, settings schema and start function of a binary. */
interface BinaryOptions<Schema extends z.ZodType> {
  readonly name: string;
  /** One sentence for the help text. */
  readonly about: string;
  readonly schema: Schema;
  /** Starts the process; called only with valid settings. */
  readonly start: (settings: z.infer<Schema>) => Promise<void>;
}

/** Reads a file; on failure returns a message that says why the file cannot be read. */
function readText(file: string): { text: string } | { problem: string } {
  try {
    return { text: readFileSync(file, 'utf8') };
  } catch (error) {
    return { problem: `${file}: cannot be read (${(error as Error).message}); check the path.` };
  }
}

/** Parses the arguments, validates the settings before any port opens, and starts the process. */
export function runBinary<Schema extends z.ZodType>(options: BinaryOptions<Schema>): void {
  class StartCommand extends Command {
    static override paths = [Command.Default];

    static override usage = Command.Usage({
      description: options.about,
      examples: [
        ['Start with a settings file', `$0 --settings ${options.name}.ini`],
        ['Check a settings file only', `$0 --settings ${options.name}.ini --check`],
      ],
    });

    settings = Option.String('--settings', {
      required: true,
      description: 'The INI settings file; docs/SETTINGS.md lists the settings.',
    });

    check = Option.Boolean('--check', false, { description: 'Check the settings and exit.' });

    override async execute(): Promise<number | undefined> {
      const fileContent = readText(this.settings);
      if ('problem' in fileContent) {
        this.context.stderr.write(`${fileContent.problem}\n`);
        return EXIT_BAD_SETTINGS;
      }
      const checked = parseSettings(options.schema, fileContent.text, this.settings);
      if (checked.isErr()) {
        this.context.stderr.write(`${formatSettingsErrors(checked.error)}\n`);
        return EXIT_BAD_SETTINGS;
      }
      if (this.check) {
        this.context.stdout.write(`${this.settings}: the settings are in order.\n`);
        return 0;
      }
      return this.startProcess(checked.value);
    }

    private async startProcess(settings: z.infer<Schema>): Promise<number | undefined> {
      try {
        await options.start(settings);
        // Keeps the command pending, so that the process runs until a signal ends it.
        await new Promise(() => {});
        return undefined;
      } catch (error) {
        this.context.stderr.write(`${options.name} cannot start: ${(error as Error).message}\n`);
        return EXIT_START_FAILED;
      }
    }
  }
  const cli = new Cli({
    binaryName: options.name,
    binaryLabel: options.name,
    binaryVersion: VERSION,
  });
  cli.register(StartCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.runExit(process.argv.slice(2)).catch(() => process.exit(EXIT_START_FAILED));
}
