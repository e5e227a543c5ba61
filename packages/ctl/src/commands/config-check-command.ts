import { Command, Option } from 'clipanion';
import { compareConfigurations } from '../configuration/compare-configurations';
import type { ConfigurationDifference } from '../configuration/configuration-difference';
import type { ConfigurationFinding } from '../configuration/configuration-finding';
import { findConfigurationFaults } from '../configuration/find-configuration-faults';
import { readConfigurationFile } from '../configuration/read-configuration-file';

/** What the exit code of this command says to scripts. */
const configCheckCodes = { fine: 0, warnings: 1, errors: 2 } as const;

/** Computes the exit code: that of the worst finding. */
function computeExitCode(findings: readonly ConfigurationFinding[]): number {
  if (findings.some(({ severity }) => severity === 'error')) {
    return configCheckCodes.errors;
  }
  return findings.length > 0 ? configCheckCodes.warnings : configCheckCodes.fine;
}

/** Formats one side of a difference for people. */
function formatSide(value: unknown): string {
  return value === undefined ? 'absent' : String(value);
}

/** Checks a configuration of the users' platform before it is written to the store. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    description: "Checks a configuration of the users' platform.",
    details:
      'Reports errors, routes that no request can match, limits that contradict each other, and what ' +
      'differs from another file. Ends with code 0 if it is fine, 1 after warnings and 2 after errors; ' +
      'differences do not count.',
    examples: [
      ['One file', '$0 config check new.json'],
      ['Beside the one in force', '$0 config check new.json --against now.json'],
    ],
  });

  file = Option.String({ name: 'FILE' });

  against = Option.String('--against', { description: 'Also show what differs from this file.' });

  json = Option.Boolean('--json', false, { description: 'Print JSON for scripts.' });

  override async execute(): Promise<number> {
    const findings: ConfigurationFinding[] = [];
    const readFile = (file: string) =>
      readConfigurationFile(file).match(
        (configuration) => configuration,
        (message) => {
          findings.push({ severity: 'error', subject: file, message });
          return undefined;
        },
      );
    const configuration = readFile(this.file);
    const earlier = this.against === undefined ? undefined : readFile(this.against);
    if (configuration !== undefined) {
      findings.push(...findConfigurationFaults(configuration));
    }
    let differences: ConfigurationDifference[] = [];
    if (configuration !== undefined && earlier !== undefined) {
      differences = compareConfigurations(earlier, configuration);
      if (differences.length > 0 && configuration.version <= earlier.version) {
        findings.push({
          severity: 'warning',
          subject: 'configuration',
          message: `version ${configuration.version} is not above ${earlier.version} of the other file`,
        });
      }
    }
    this.printReport(findings, differences);
    return computeExitCode(findings);
  }

  private printReport(
    findings: readonly ConfigurationFinding[],
    differences: readonly ConfigurationDifference[],
  ): void {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ findings, differences }, null, 2)}\n`);
      return;
    }
    findings.forEach(({ severity, subject, message }) =>
      this.context.stdout.write(`${severity}: ${subject}: ${message}\n`),
    );
    differences.forEach(({ subject, before, after }) =>
      this.context.stdout.write(
        `differs: ${subject}: ${formatSide(before)} -> ${formatSide(after)}\n`,
      ),
    );
    if (findings.length === 0) {
      this.context.stdout.write(`${this.file}: nothing wrong was found\n`);
    }
  }
}
