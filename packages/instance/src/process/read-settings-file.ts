import { readFileSync } from 'node:fs';
import { err, type Result } from 'neverthrow';
import type { InstanceSettings } from '@guavaspindle/platform-adapter/settings/instance-settings';
import { parseInstanceSettings } from '@guavaspindle/platform-adapter/settings/parse-instance-settings';

/** Reads and parses the platform's settings file; an error begins with the path. */
export function readSettingsFile(path: string): Result<InstanceSettings, string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return err(`${path}: cannot be read (${(error as Error).message})`);
  }
  return parseInstanceSettings(text).mapErr((problem) => `${path}: ${problem}`);
}
