/* eslint-disable no-await-in-loop -- watches run one at a time */
import type { StoreFailure } from '@guavaspindle/platform-adapter/store/store-failure';
import { runIsolated } from '../process/run-isolated';
import type { MirrorListener } from './mirror-listener';
import { mirrorTiming } from './mirror-timing';
import type { PrefixMirrorOptions } from './prefix-mirror-options';

/** A mirror logs once when it has had no answer for this long, in milliseconds. */
const STALE_AFTER_MS = 1_000;

/** Follows all keys under a prefix of the platform's store and passes changes to a listener. */
export class PrefixMirror {
  /** When the store last answered, in monotonic milliseconds; undefined before the first answer. */
  private answeredAtMs: number | undefined;

  /** When the last answered call had begun, in monotonic milliseconds; `-Infinity` before the first answer. */
  private asOfMs = -Infinity;

  private failures = 0;

  /** When a call last failed, in monotonic milliseconds; lost history does not count. */
  private failedAtMs: number | undefined;

  private lastFailure: StoreFailure | undefined;

  /** Whether the present lack of answers has been logged as too long. */
  private isStaleLogged = false;

  private isClosed = false;

  constructor(
    private readonly options: PrefixMirrorOptions,
    private readonly listener: MirrorListener,
  ) {}

  /** Returns whether the last call was answered. */
  isCurrent(): boolean {
    return this.answeredAtMs !== undefined && this.failures === 0;
  }

  /** Time since the store last answered, in milliseconds; undefined before the first answer. */
  computeAnswerAgeMs(): number | undefined {
    const { answeredAtMs } = this;
    return answeredAtMs === undefined ? undefined : this.options.clock.now() - answeredAtMs;
  }

  /** As of when the keys are known, in monotonic milliseconds; `-Infinity` before the first answer. */
  get knownAsOfMs(): number {
    return this.asOfMs;
  }

  get prefix(): string {
    return this.options.prefix;
  }

  /**
   * Returns whether a call has failed within the last `windowMs` milliseconds, the last call has
   * failed or no call has been answered yet.
   */
  hasFailedWithin(windowMs: number): boolean {
    const { failedAtMs } = this;
    return (
      !this.isCurrent() ||
      (failedAtMs !== undefined && this.options.clock.now() - failedAtMs < windowMs)
    );
  }

  /** Reads and follows the prefix until the mirror is closed; never rejects. */
  async run(): Promise<void> {
    const { prefix, store, clock, log, watchPauseMs } = this.options;
    let revision: number | undefined;
    while (!this.isClosed) {
      const begunAtMs = clock.now();
      if (revision === undefined) {
        const snapshot = await store.readPrefix(prefix);
        if (snapshot.isOk()) {
          this.recordAnswer(begunAtMs);
          revision = snapshot.value.revision;
          runIsolated(log, { prefix }, () => this.listener.onSnapshot(snapshot.value));
        } else {
          await this.handleFailure(snapshot.error);
        }
      } else {
        const changes = await store.watchPrefix(prefix, revision, mirrorTiming.maxWatchWaitMs);
        if (changes.isOk()) {
          this.recordAnswer(begunAtMs);
          if (changes.value.events.length > 0) {
            // An empty answer does not advance the revision: a store that is about to drop its
            // history may have withheld changes that its revision already counts.
            revision = changes.value.revision;
            runIsolated(log, { prefix }, () => this.listener.onEvents(changes.value.events));
          }
          if (watchPauseMs > 0) {
            await clock.pause(watchPauseMs);
          }
        } else if (changes.error.kind === 'history-lost') {
          // The store has answered, so the keys are read without a longer pause.
          log.info({ prefix, revision }, 'the store has dropped its history; reading all keys');
          revision = undefined;
          await clock.pause(mirrorTiming.initialRetryDelayMs);
        } else {
          await this.handleFailure(changes.error);
        }
      }
    }
  }

  /** Stops following the prefix after the call that is under way. */
  close(): void {
    this.isClosed = true;
  }

  private recordAnswer(begunAtMs: number): void {
    const { clock, log, prefix } = this.options;
    if (this.failures > 0) {
      const { failures, lastFailure } = this;
      const answerAgeMs = this.computeAnswerAgeMs();
      log.info({ prefix, failures, lastFailure, answerAgeMs }, 'store answers again');
    }
    this.failures = 0;
    this.isStaleLogged = false;
    this.answeredAtMs = clock.now();
    this.asOfMs = begunAtMs;
  }

  private async handleFailure(failure: StoreFailure): Promise<void> {
    const { clock, log, prefix, maxRetryDelayMs } = this.options;
    const answerAgeMs = this.computeAnswerAgeMs();
    if (this.failures === 0) {
      log.warn({ prefix, failure, answerAgeMs }, 'store call for this prefix failed; retrying');
    } else if (!this.isStaleLogged && answerAgeMs !== undefined && answerAgeMs > STALE_AFTER_MS) {
      this.isStaleLogged = true;
      log.warn({ prefix, failure, answerAgeMs }, 'changes under this prefix may be missed');
    }
    this.lastFailure = failure;
    const doublings = Math.min(10, this.failures);
    this.failures += 1;
    this.failedAtMs = clock.now();
    await clock.pause(Math.min(maxRetryDelayMs, mirrorTiming.initialRetryDelayMs * 2 ** doublings));
  }
}
