import { readFileSync } from 'node:fs';
import { formatSettingsErrors } from '@guavaspindle/runtime/settings/format-settings-errors';
import { parseSettings } from '@guavaspindle/runtime/settings/parse-settings';
import { err, type Result } from 'neverthrow';
import type { CheckedFile } from './checked-file';
import { settingsSchemas } from './settings-schemas';

/** Checks text against the schema of the binary that it is for. */
function checkText(
  role: keyof typeof settingsSchemas,
  text: string,
  file: string,
): Result<CheckedFile, string> {
  switch (role) {
    case 'gateway':
      return parseSettings(settingsSchemas.gateway, text, file)
        .map(({ process, gateway }) => ({
          file,
          domain: process.domain,
          addresses: [process.control, gateway.listen],
          share: undefined,
        }))
        .mapErr(formatSettingsErrors);
    case 'dispatcher':
      return parseSettings(settingsSchemas.dispatcher, text, file)
        .map(({ process, dispatcher: { index, count } }) => ({
          file,
          domain: process.domain,
          addresses: [process.control],
          share: { index, count },
        }))
        .mapErr(formatSettingsErrors);
    case 'agent':
      return parseSettings(settingsSchemas.agent, text, file)
        .map(({ process, agent }) => ({
          file,
          domain: process.domain,
          addresses: [process.control, agent.listen],
          share: undefined,
        }))
        .mapErr(formatSettingsErrors);
    default:
      return role satisfies never;
  }
}

/** Checks one settings file; the error has a line for each fault. */
export function checkFile(
  role: keyof typeof settingsSchemas,
  file: string,
): Result<CheckedFile, string> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err(`${file}: cannot be read (${(error as Error).message})`);
  }
  return checkText(role, text, file);
}
