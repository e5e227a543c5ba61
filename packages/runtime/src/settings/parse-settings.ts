import { parse } from 'ini';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { SettingsError } from './settings-error';

/** Converts a schema issue into errors that name the section and key. */
function describeIssue(issue: z.core.$ZodIssue, file: string): SettingsError[] {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((name) => ({
      file,
      section: section === '' ? name : section,
      key: section === '' ? '' : name,
      message: 'not a known setting; see docs/SETTINGS.md for the accepted ones',
    }));
  }
  const isMissing = issue.code === 'invalid_type' && issue.message.includes('undefined');
  const message = isMissing ? 'is required and missing' : issue.message;
  return [{ file, section, key, message }];
}

/** Parses INI text and validates it against a schema of sections. */
export function parseSettings<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  file: string,
): Result<z.infer<Schema>, SettingsError[]> {
  const sections: Record<string, unknown> = { ...parse(text) };
  const checked = schema.safeParse(sections);
  if (checked.success) {
    return ok(checked.data);
  }
  return err(checked.error.issues.flatMap((issue) => describeIssue(issue, file)));
}
