import type Logger from 'bunyan';
import { VError } from 'verror';

/** Exit code of a process that stopped because of a broken invariant. */
const FATAL_ERROR_EXIT_CODE = 70;

/** Tells of exceptions that nobody caught; the process itself outside of tests. */
interface FatalErrorSource {
  on(event: 'uncaughtException', listener: (error: Error) => void): unknown;
}

/**
 * Logs an exception that nobody caught, with what is known of it, and stops the process. Rejected
 * promises that nobody handles arrive here too.
 */
export function watchFatalErrors(
  log: Logger,
  source: FatalErrorSource = process,
  stopProcess: (code: number) => void = (code) => process.exit(code),
): void {
  source.on('uncaughtException', (error) => {
    log.fatal({ err: error, info: VError.info(error) }, 'broken invariant; the process stops');
    stopProcess(FATAL_ERROR_EXIT_CODE);
  });
}
