import type Logger from 'bunyan';
import { VError } from 'verror';

/** Exit code of a process that stopped because of a broken invariant. */
const BROKEN_EXIT_CODE = 70;

/** What is used of the process. */
interface FatalTarget {
  on(event: 'uncaughtException', listen: (error: Error) => void): unknown;
  exit(code: number): void;
}

/**
 * Logs an exception that nobody caught, with what is known of it, and stops the process. Rejected
 * promises that nobody handles arrive here too.
 */
export function watchFatalErrors(log: Logger, target: FatalTarget = process): void {
  target.on('uncaughtException', (error) => {
    log.fatal({ err: error, info: VError.info(error) }, 'broken invariant; the process stops');
    target.exit(BROKEN_EXIT_CODE);
  });
}
