import type Logger from 'bunyan';
import type { RunningProcess } from './running-process';

const EXIT_CLEAN = 0;
const EXIT_UNCLEAN = 1;

/**
 * Starts a graceful shutdown on the first SIGTERM or SIGINT, or when requested over the control
 * interface. On a second signal or at the deadline it exits immediately and logs the amount of
 * unfinished work.
 */
export class ShutdownHandler {
  private isShuttingDown = false;

  constructor(
    private readonly log: Logger,
    private readonly deadlineMs: number,
  ) {}

  /** Registers the handlers of SIGTERM and SIGINT. */
  watchSignals(running: RunningProcess): void {
    const handleSignal = () => {
      if (this.isShuttingDown) {
        this.stopImmediately(running, 'second signal');
      } else {
        this.beginShutdown(running);
      }
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
  }

  /** Starts the graceful shutdown; does nothing if it has already started. */
  beginShutdown(running: RunningProcess): void {
    if (this.isShuttingDown) {
      return;
    }
    this.isShuttingDown = true;
    this.log.info({ inProgress: running.countInProgress() }, 'shutdown started');
    setTimeout(() => this.stopImmediately(running, 'deadline'), this.deadlineMs).unref();
    running.shutDown().then(
      () => {
        this.log.info('shutdown complete');
        process.exit(EXIT_CLEAN);
      },
      (error: unknown) => {
        this.log.error({ err: error }, 'shutdown failed');
        process.exit(EXIT_UNCLEAN);
      },
    );
  }

  private stopImmediately(running: RunningProcess, cause: string): void {
    this.log.error({ cut: running.countInProgress(), cause }, 'process exits with unfinished work');
    process.exit(EXIT_UNCLEAN);
  }
}
