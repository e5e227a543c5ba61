/* eslint-disable no-await-in-loop -- the writes of a part go one after the other */
import type Logger from 'bunyan';
import { CANCEL_RETENTION_MS } from '@guavaspindle/kernel/engine/cancel-retention-ms';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import { cancelTiming } from './cancel-timing';
import { parseCancelTimes } from './parse-cancel-times';

/** Not under the prefix that every instance follows: each write there would cost a read by each of them. */
const PREFIX = 'guavaspindle-cancels/';
/** Cancellations that a value in the store holds at most, far below the 1 MB that a value may have. */
const MAX_RECORDS = 10_000;
/** Readers ignore older records, which nobody may have removed. The factor covers clocks that differ. */
const MAX_AGE_MS = 2 * CANCEL_RETENTION_MS;

interface CancelLedgerOptions {
  readonly part: PartId;
  /** Key of the leadership claim; a write takes effect only while the claim is the leader's. */
  readonly claimKey: string;
  readonly store: Pick<StoreClient, 'readPrefix' | 'commitWrite'>;
  readonly clock: Clock;
  readonly log: Logger;
}

interface WaitingCancel {
  readonly id: JobId;
  resolve(isRecorded: boolean): void;
}

/**
 * The cancellations that the leader of a part has recorded in the platform's store. A write takes all
 * that wait, and is refused once another instance has claimed the part. A later leader, which reads the
 * records after its claim, therefore knows every cancellation that was recorded before.
 */
export class CancelLedger {
  /** When each cancellation of this part was recorded, in Unix milliseconds; oldest first. */
  private times = new Map<JobId, number>();

  /** Store revision of this part's records; undefined if they have to be read first. */
  private revision: number | undefined;

  private waiting: WaitingCancel[] = [];

  private isWriting = false;

  private isClosed = false;

  /** @param token - store revision of the leadership claim */
  constructor(
    private readonly options: CancelLedgerOptions,
    private token: number,
  ) {}

  /** Continues under a newer claim of the same leader. */
  adoptToken(token: number): void {
    this.token = token;
  }

  /** Reads the cancellations of all parts; undefined if the store does not answer. */
  async readCancels(): Promise<readonly JobId[] | undefined> {
    const { store, clock, log } = this.options;
    const snapshot = await store.readPrefix(PREFIX);
    if (snapshot.isErr()) {
      return undefined;
    }
    const oldestMs = clock.wall() - MAX_AGE_MS;
    const ids = new Set<JobId>();
    this.revision = 0;
    snapshot.value.items.forEach(({ key, text, revision }) => {
      const times = parseCancelTimes(text);
      if (times === undefined) {
        log.error({ key, revision }, 'ignoring invalid cancellations in the store');
      }
      if (key === this.getKey()) {
        this.revision = revision;
        this.times = new Map(times ?? []);
      }
      times?.forEach((timeMs, id) => {
        if (timeMs >= oldestMs) {
          ids.add(id);
        }
      });
    });
    return [...ids];
  }

  /** Records a cancellation; resolves with false if this leader's claim is no longer in force. */
  async addCancel(id: JobId): Promise<boolean> {
    if (this.isClosed) {
      return false;
    }
    return new Promise((resolve) => {
      this.waiting.push({ id, resolve });
      if (!this.isWriting) {
        void this.writeWaiting();
      }
    });
  }

  /** Ends all writes; cancellations that wait count as not recorded. */
  close(): void {
    this.isClosed = true;
    this.waiting.splice(0).forEach(({ resolve }) => resolve(false));
  }

  private getKey(): string {
    return PREFIX + this.options.part;
  }

  private async writeWaiting(): Promise<void> {
    const { clock } = this.options;
    this.isWriting = true;
    // All cancellations of this turn of the event loop share the first write.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    while (this.waiting.length > 0) {
      const isDone = await this.writeOnce();
      await clock.pause(isDone ? cancelTiming.writeIntervalMs : cancelTiming.retryDelayMs);
    }
    this.isWriting = false;
  }

  /** Writes what waits; returns false if that has to be tried again. */
  private async writeOnce(): Promise<boolean> {
    const { store, claimKey, part, log } = this.options;
    if (this.revision === undefined && (await this.readCancels()) === undefined) {
      return false;
    }
    const expectedRevision = this.revision;
    const batch = this.waiting.splice(0);
    const times = this.computeTimes(batch);
    const written = await store.commitWrite({
      key: this.getKey(),
      text: JSON.stringify(Object.fromEntries(times)),
      expectedRevision,
      guard: { key: claimKey, revision: this.token },
    });
    if (written.isOk() && written.value.kind === 'written') {
      this.times = times;
      this.revision = written.value.revision;
      log.info({ part, jobs: batch.length, kept: times.size }, 'cancellations recorded');
      batch.forEach(({ resolve }) => resolve(true));
      return true;
    }
    this.revision = undefined;
    if (written.isOk() && (await this.readCancels()) !== undefined) {
      if (this.revision === expectedRevision) {
        log.warn({ part, jobs: batch.length }, 'cancellations not recorded: the claim has changed');
        batch.forEach(({ resolve }) => resolve(false));
        return true;
      }
      // An earlier write of this leader, whose answer was lost, has taken effect.
    }
    if (this.isClosed) {
      batch.forEach(({ resolve }) => resolve(false));
      return true;
    }
    log.warn(
      { part, jobs: batch.length },
      'cancellations not recorded yet: the store has not answered',
    );
    this.waiting.unshift(...batch);
    return false;
  }

  private computeTimes(batch: readonly WaitingCancel[]): Map<JobId, number> {
    const nowMs = this.options.clock.wall();
    const kept = [...this.times].filter(([, timeMs]) => nowMs - timeMs < CANCEL_RETENTION_MS);
    const added = batch.map(({ id }): [JobId, number] => [id, nowMs]);
    return new Map([...kept, ...added].slice(-MAX_RECORDS));
  }
}
