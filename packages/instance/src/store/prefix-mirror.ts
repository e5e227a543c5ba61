/* eslint-disable no-await-in-loop -- one watch after the other */
import type Logger from 'bunyan';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import type { StoreFailure } from '@guavaspindle/platform-adapter/store/store-failure';
import type { MirrorListener } from './mirror-listener';

/**
 * Longest wait of one watch, in milliseconds. A watch that has gone silent is noticed after this time
 * and the client's slack, which together stay below the two seconds in which a configuration has to
 * be in force.
 */
const MAX_WATCH_WAIT_MS = 700;
/** Pause after a call that failed, doubled with each further one up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 800;

interface PrefixMirrorOptions {
  readonly prefix: string;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Pause between two watches, so that one call brings the changes of that time. */
  readonly watchPauseMs: number;
}

/** Follows all keys under a prefix of the platform's store. */
export class PrefixMirror {
  /** When the store last answered, monotonic milliseconds; undefined before the first answer. */
  private answeredAtMs: number | undefined;

  private failures = 0;

  /** When a call last failed, monotonic milliseconds. */
  private failedAtMs: number | undefined;

  private isClosed = false;

  constructor(
    private readonly options: PrefixMirrorOptions,
    private readonly listener: MirrorListener,
  ) {}

  /** Tells whether the last call was answered. */
  isCurrent(): boolean {
    return this.answeredAtMs !== undefined && this.failures === 0;
  }

  /** Tells whether a call has failed within the last so many milliseconds, or none was answered. */
  hasFailedWithin(windowMs: number): boolean {
    const { failedAtMs } = this;
    return (
      !this.isCurrent() ||
      (failedAtMs !== undefined && this.options.clock.now() - failedAtMs < windowMs)
    );
  }

  /** Reads and follows the prefix until it is closed; never rejects. */
  async run(): Promise<void> {
    const { prefix, store, clock, watchPauseMs } = this.options;
    let revision: number | undefined;
    while (!this.isClosed) {
      if (revision === undefined) {
        const snapshot = await store.readPrefix(prefix);
        if (snapshot.isOk()) {
          this.recordAnswer();
          revision = snapshot.value.revision;
          this.listener.onSnapshot(snapshot.value);
        } else {
          await this.handleFailure(snapshot.error);
        }
      } else {
        const changes = await store.watchPrefix(prefix, revision, MAX_WATCH_WAIT_MS);
        if (changes.isOk()) {
          this.recordAnswer();
          if (changes.value.events.length > 0) {
            // An empty answer leaves the revision as it is: a store that is about to drop its
            // history may have held back changes that its revision already counts.
            revision = changes.value.revision;
            this.listener.onEvents(changes.value.events);
          }
          if (watchPauseMs > 0) {
            await clock.pause(watchPauseMs);
          }
        } else {
          if (changes.error.kind === 'history-lost') {
            revision = undefined;
          }
          await this.handleFailure(changes.error);
        }
      }
    }
  }

  /** Stops following. */
  close(): void {
    this.isClosed = true;
  }

  private recordAnswer(): void {
    const { clock, log, prefix } = this.options;
    if (this.failures > 0) {
      log.info({ prefix, failures: this.failures }, 'the store answers again');
    }
    this.failures = 0;
    this.answeredAtMs = clock.now();
  }

  private async handleFailure(failure: StoreFailure): Promise<void> {
    const { clock, log, prefix } = this.options;
    if (this.failures === 0) {
      log.warn({ prefix, failure }, 'the store does not serve this prefix');
    }
    if (failure.kind !== 'history-lost') {
      this.failures += 1;
      this.failedAtMs = clock.now();
    }
    await clock.pause(
      Math.min(
        MAX_RETRY_DELAY_MS,
        INITIAL_RETRY_DELAY_MS * 2 ** Math.min(10, Math.max(0, this.failures - 1)),
      ),
    );
  }
}
