import { Command, Option } from 'clipanion';
import { exitCodes } from '../exit-codes';
import { checkFile } from '../settings/check-file';
import type { CheckedFile } from '../settings/checked-file';
import { compareFiles } from '../settings/compare-files';
import { settingsSchemas } from '../settings/settings-schemas';

/** Tells whether a name is that of a binary with settings. */
function isRole(name: string): name is keyof typeof settingsSchemas {
  return Object.hasOwn(settingsSchemas, name);
}

/** Checks settings files before they are rolled out. */
export class CheckSettingsCommand extends Command {
  static override paths = [['check-settings']];

  static override usage = Command.Usage({
    description: 'Checks settings files, each by itself and all together.',
    details:
      'Together they must not listen on one address twice, and the dispatchers of a failure domain ' +
      'must have different indices and the same count. Ends with code 2 if anything is wrong.',
    examples: [
      ['One file', '$0 check-settings gateway=gateway.ini'],
      ['Both dispatchers of a domain', '$0 check-settings dispatcher=a.ini dispatcher=b.ini'],
    ],
  });

  files = Option.Rest({ name: 'ROLE=FILE', required: 1 });

  override async execute(): Promise<number> {
    const good: CheckedFile[] = [];
    const faults: string[] = [];
    this.files.forEach((named) => {
      const [role = '', ...rest] = named.split('=');
      if (!isRole(role) || rest.length === 0) {
        const roles = Object.keys(settingsSchemas).join(', ');
        faults.push(`${named}: must be ROLE=FILE, where ROLE is one of ${roles}`);
        return;
      }
      checkFile(role, rest.join('=')).match(
        (checked) => good.push(checked),
        (fault) => faults.push(fault),
      );
    });
    faults.push(...compareFiles(good));
    faults.forEach((fault) => this.context.stderr.write(`${fault}\n`));
    if (faults.length > 0) {
      return exitCodes.usage;
    }
    this.context.stdout.write(`${good.length} settings files are right\n`);
    return exitCodes.done;
  }
}
