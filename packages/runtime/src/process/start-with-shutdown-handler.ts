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
  const started: { running?: RunningProcess } = {};
  const running = await startProcess(() => {
    // A shutdown request that arrives before the process has started is ignored.
    if (started.running !== undefined) {
      shutdownHandler.beginShutdown(started.running);
    }
  });
  started.running = running;
  shutdownHandler.watchSignals(running);
  context.log.info('process started');
}
