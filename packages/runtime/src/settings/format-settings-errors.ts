import type { SettingsError } from './settings-error';

/** Formats settings errors, one line each. */
export function formatSettingsErrors(errors: readonly SettingsError[]): string {
  return errors
    .map(({ file, section, key, message }) => {
      const place = key === '' ? `[${section}]` : `[${section}] ${key}`;
      return `${file}: ${place}: ${message}`;
    })
    .join('\n');
}
