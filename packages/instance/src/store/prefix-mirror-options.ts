import type Logger from 'bunyan';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';

/** What a mirror of a prefix needs. */
export interface PrefixMirrorOptions {
  readonly prefix: string;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly log: Logger;
  /** Pause between two watches in milliseconds, so that one call returns the changes of that time. */
  readonly watchPauseMs: number;
  /** Longest delay after a failed call, in milliseconds. */
  readonly maxRetryDelayMs: number;
}
