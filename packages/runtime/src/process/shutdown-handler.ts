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
  private running: RunningProcess | undefined;

  private hasSignal = false;

  private isShuttingDown = false;

  constructor(
    private readonly log: Logger,
    private readonly deadlineMs: number,
  ) {}

  /**
   * Registers the handlers of SIGTERM and SIGINT. Before the process opens its ports: the default action of a signal
   * would cut its requests.
   */
  watchSignals(): void {
    const handleSignal = () => {
      if (this.hasSignal || this.isShuttingDown) {
        this.stopImmediately('second signal');
      } else {
        this.hasSignal = true;
        this.beginShutdown();
      }
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
  }

  /** Sets the process that is shut down, once it has started. A signal that came before takes effect now. */
  setRunning(running: RunningProcess): void {
    this.running = running;
    if (this.hasSignal) {
      this.beginShutdown();
    }
  }

  /** Starts the graceful shutdown; does nothing if it has already started, or before the process has. */
  beginShutdown(): void {
    const { running } = this;
    if (this.isShuttingDown || running === undefined) {
      return;
    }
    this.isShuttingDown = true;
    this.log.info({ inProgress: running.countInProgress() }, 'shutdown started');
    setTimeout(() => this.stopImmediately('deadline'), this.deadlineMs).unref();
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

  private stopImmediately(cause: string): void {
    const cut = this.running?.countInProgress() ?? 0;
    this.log.error({ cut, cause }, 'process exits with unfinished work');
    process.exit(EXIT_UNCLEAN);
  }
}
