import { VError } from 'verror';

/**
 * Builds the error for a broken invariant. It stops the process, because continuing could break a
 * guarantee.
 *
 * @param info - ids and counts for the log
 */
export function buildInvariantError(
  message: string,
  info: Readonly<Record<string, string | number>>,
): Error {
  return new VError({ name: 'BrokenInvariantError', info }, '%s', message);
}
