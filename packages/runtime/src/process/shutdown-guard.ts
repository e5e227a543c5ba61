import type Logger from 'bunyan';
import type { RunningProcess } from './running-process';

const EXIT_CLEAN = 0;
const EXIT_CUT = 1;

/**
 * Shuts a process down on the first SIGTERM or SIGINT, or when asked over the control interface.
 * A second signal or the deadline ends it at once and logs how much was cut.
 */
export class ShutdownGuard {
  private begun = false;

  constructor(
    private readonly log: Logger,
    private readonly deadlineMs: number,
  ) {}

  /** Starts to listen for signals. */
  watchSignals(running: RunningProcess): void {
    const handleSignal = () => {
      if (this.begun) {
        this.endNow(running, 'second signal');
      } else {
        this.beginShutdown(running);
      }
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
  }

  /** Starts the graceful shutdown; later calls change nothing. */
  beginShutdown(running: RunningProcess): void {
    if (this.begun) {
      return;
    }
    this.begun = true;
    this.log.info({ inProgress: running.countInProgress() }, 'shutdown started');
    setTimeout(() => this.endNow(running, 'deadline'), this.deadlineMs).unref();
    running.shutDown().then(
      () => {
        this.log.info('shutdown complete');
        process.exit(EXIT_CLEAN);
      },
      (error: unknown) => {
        this.log.error({ err: error }, 'shutdown failed');
        process.exit(EXIT_CUT);
      },
    );
  }

  private endNow(running: RunningProcess, cause: string): void {
    this.log.error({ cut: running.countInProgress(), cause }, 'shutdown cut requests');
    process.exit(EXIT_CUT);
  }
}
