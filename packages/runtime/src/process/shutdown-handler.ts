import type Logger from 'bunyan';
import type { RunningProcess } from './running-process';

const EXIT_CLEAN = 0;
const EXIT_UNCLEAN = 1;

/**
 * Shuts a process down on the first SIGTERM or SIGINT, or when asked over the control interface.
 * A second signal or the deadline ends it at once and logs how much was cut.
 */
export class ShutdownHandler {
  private isShuttingDown = false;

  constructor(
    private readonly log: Logger,
    private readonly deadlineMs: number,
  ) {}

  /** Starts to listen for signals. */
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

  /** Starts the graceful shutdown; later calls change nothing. */
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
    this.log.error({ cut: running.countInProgress(), cause }, 'shutdown cut requests');
    process.exit(EXIT_UNCLEAN);
  }
}
