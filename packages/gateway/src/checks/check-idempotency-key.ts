import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { err, ok, type Result } from 'neverthrow';

const KEY_PATTERN = /^[\x20-\x7e]{1,200}$/;

/** Validates the `Idempotency-Key` header. Returns an empty string if the header is absent. */
export function checkIdempotencyKey(header: string | undefined): Result<string, Problem> {
  if (header === undefined) {
    return ok('');
  }
  if (KEY_PATTERN.test(header)) {
    return ok(header);
  }
  const detail = 'Idempotency-Key: must be 1 to 200 printable ASCII characters.';
  return err(buildProblem('bad-request', 'not-run', detail));
}
