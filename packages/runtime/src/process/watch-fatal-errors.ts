import type Logger from 'bunyan';
import { VError } from 'verror';

/** Exit code after an uncaught exception, such as a broken invariant. */
const FATAL_ERROR_EXIT_CODE = 70;

/** Emits uncaught exceptions; `process` except in tests. */
interface FatalErrorSource {
  on(event: 'uncaughtException', listener: (error: Error) => void): unknown;
}

/**
 * Logs an uncaught exception with its VError info and stops the process. Unhandled promise
 * rejections are reported as uncaught exceptions too.
 */
export function watchFatalErrors(
  log: Logger,
  source: FatalErrorSource = process,
  stopProcess: (code: number) => void = (code) => process.exit(code),
): void {
  source.on('uncaughtException', (error) => {
    log.fatal({ err: error, info: VError.info(error) }, 'uncaught exception; the process stops');
    stopProcess(FATAL_ERROR_EXIT_CODE);
  });
}
