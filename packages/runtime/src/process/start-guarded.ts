import type { ProcessContext } from './process-context';
import type { RunningProcess } from './running-process';
import { ShutdownGuard } from './shutdown-guard';
import { watchFatalErrors } from './watch-fatal-errors';

/** Starts a process and guards its shutdown, by signal or over the control interface. */
export async function startGuarded(
  context: ProcessContext,
  drainDeadlineMs: number,
  build: (beginShutdown: () => void) => Promise<RunningProcess>,
): Promise<void> {
  watchFatalErrors(context.log);
  const guard = new ShutdownGuard(context.log, drainDeadlineMs);
  const started: { running?: RunningProcess } = {};
  const running = await build(() => {
    if (started.running !== undefined) {
      guard.beginShutdown(started.running);
    }
  });
  started.running = running;
  guard.watchSignals(running);
  context.log.info('up');
}
