import { Builtins, Cli } from 'clipanion';
import { CheckSettingsCommand } from './commands/check-settings-command';
import { ConfigCheckCommand } from './commands/config-check-command';
import { DrainCommand } from './commands/drain-command';
import { JobsShowCommand } from './commands/jobs-show-command';
import { StatusCommand } from './commands/status-command';
import { TableDiffCommand } from './commands/table-diff-command';
import { TableGetCommand } from './commands/table-get-command';
import { TableHistoryCommand } from './commands/table-history-command';
import { TableImportCommand } from './commands/table-import-command';
import { TableSetCommand } from './commands/table-set-command';
import { TimelineCommand } from './commands/timeline-command';

/** Builds the command line with all its commands. */
export function buildCli(): Cli {
  const cli = new Cli({
    binaryLabel: "guavactl, the operators' command line",
    binaryName: 'guavactl',
    binaryVersion: '0.1.0',
  });
  cli.register(StatusCommand);
  cli.register(JobsShowCommand);
  cli.register(DrainCommand);
  cli.register(CheckSettingsCommand);
  cli.register(ConfigCheckCommand);
  cli.register(TableGetCommand);
  cli.register(TableDiffCommand);
  cli.register(TableHistoryCommand);
  cli.register(TableImportCommand);
  cli.register(TableSetCommand);
  cli.register(TimelineCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
}
