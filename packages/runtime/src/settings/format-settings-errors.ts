import type { SettingsError } from './settings-error';

/** Formats settings errors, one per line, as `file: [section] key: message`. */
export function formatSettingsErrors(errors: readonly SettingsError[]): string {
  return errors
    .map(({ file, section, key, message }) => {
      const location = key === '' ? `[${section}]` : `[${section}] ${key}`;
      return `${file}: ${location}: ${message}`;
    })
    .join('\n');
}
