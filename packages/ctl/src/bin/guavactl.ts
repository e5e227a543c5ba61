import { Builtins, Cli } from 'clipanion';
import { DrainCommand } from '../commands/drain-command';
import { StatusCommand } from '../commands/status-command';
import { TableGetCommand } from '../commands/table-get-command';
import { TableHistoryCommand } from '../commands/table-history-command';
import { TableImportCommand } from '../commands/table-import-command';
import { TableSetCommand } from '../commands/table-set-command';
import { TimelineCommand } from '../commands/timeline-command';

const cli = new Cli({
  binaryLabel: "guavactl, the operators' command line",
  binaryName: 'guavactl',
  binaryVersion: '0.1.0',
});
cli.register(StatusCommand);
cli.register(DrainCommand);
cli.register(TableGetCommand);
cli.register(TableHistoryCommand);
cli.register(TableImportCommand);
cli.register(TableSetCommand);
cli.register(TimelineCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.runExit(process.argv.slice(2)).catch(() => process.exit(1));
