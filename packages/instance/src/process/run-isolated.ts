import type Logger from 'bunyan';

/**
 * Runs a handler of one entry, message or listener. An unexpected error is logged and stops only this
 * handler; returns whether the handler ended without one.
 */
export function runIsolated(
  log: Logger,
  context: Readonly<Record<string, unknown>>,
  handler: () => void,
): boolean {
  try {
    handler();
    return true;
  } catch (error) {
    log.error({ ...context, err: error }, 'handler failed; the others continue');
    return false;
  }
}
