import { readFileSync } from 'node:fs';
import { err, type Result } from 'neverthrow';
import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import { parseConfiguration } from '@guavaspindle/platform-adapter/configuration/parse-configuration';

/** Reads a configuration as the instances do; the error describes what is wrong. */
export function readConfigurationFile(file: string): Result<Configuration, string> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err(`cannot be read (${(error as Error).message})`);
  }
  return parseConfiguration(text);
}
