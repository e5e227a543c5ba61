import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** Formats the path of a field, such as `tasks[3].payload`. */
function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') {
      return `${text}[${part}]`;
    }
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

/**
 * Parses a JSON body and validates it against a schema. The returned problem names the path of the
 * first invalid field.
 */
export function checkBody<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.infer<Schema>, Problem> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return err(buildProblem('bad-request', 'not-run', 'The body is not JSON.'));
  }
  const checked = schema.safeParse(body);
  if (checked.success) {
    return ok(checked.data);
  }
  const issue = checked.error.issues[0]!;
  const fieldPath = formatPath(issue.path);
  const detail = fieldPath === '' ? issue.message : `${fieldPath}: ${issue.message}`;
  return err(buildProblem('bad-request', 'not-run', detail));
}
