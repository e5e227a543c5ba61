import { z } from 'zod';

/** Metadata of a setting for error messages and the generated settings page. */
interface SettingMetadata {
  /** Describes the accepted form of the value. */
  readonly form: string;
  readonly about: string;
  /** Default value, as written in the file; a setting without a default is required. */
  readonly fallback?: string;
}

/**
 * Defines a setting whose text in the settings file is parsed into a typed value.
 *
 * @param parse - returns undefined if the text does not have the accepted form
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
