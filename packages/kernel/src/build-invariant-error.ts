import { VError } from 'verror';

/**
 * Builds the error of a broken invariant, which stops the process: going on could break a promise.
 *
 * @param info - ids and counts for the log
 */
export function buildInvariantError(
  message: string,
  info: Readonly<Record<string, string | number>>,
): Error {
  return new VError({ name: 'BrokenInvariantError', info }, '%s', message);
}
