import type { ProcessContext } from './process-context';
import type { RunningProcess } from './running-process';
import { ShutdownHandler } from './shutdown-handler';
import { watchFatalErrors } from './watch-fatal-errors';

/** Starts a process that shuts down gracefully on a signal or over the control interface. */
export async function startWithShutdownHandler(
  context: ProcessContext,
  drainDeadlineMs: number,
  startProcess: (beginShutdown: () => void) => Promise<RunningProcess>,
): Promise<void> {
  watchFatalErrors(context.log);
  const shutdownHandler = new ShutdownHandler(context.log, drainDeadlineMs);
  shutdownHandler.watchSignals();
  const running = await startProcess(() => shutdownHandler.beginShutdown());
  context.log.info('process started');
  shutdownHandler.setRunning(running);
}
