import { z } from 'zod';

/** What the settings page says of a setting. */
interface SettingMetadata {
  /** The accepted form, for error messages and the settings page. */
  readonly form: string;
  readonly about: string;
  /** Taken when the setting is absent; without one the setting is required. */
  readonly fallback?: string;
}

/**
 * Defines one setting: text in the file, a checked value in the program.
 *
 * @param parse - returns undefined for text that is not of the accepted form
 */
export function defineField<Value>(
  metadata: SettingMetadata,
  parse: (text: string) => Value | undefined,
) {
  const schema = z.string().transform((text, context) => {
    const value = parse(text.trim());
    if (value === undefined) {
      context.addIssue({ code: 'custom', message: `got "${text}"; accepted: ${metadata.form}` });
      return z.NEVER;
    }
    return value as Exclude<Value, undefined>;
  });
  return z
    .preprocess((value) => (value === undefined ? metadata.fallback : value), schema)
    .meta({ ...metadata });
}
