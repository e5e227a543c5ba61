import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './store-error';
import type { StoredValue } from './stored-value';

/** What a watch returned: the value now, and the index to wait on next. */
interface WatchedValue {
  readonly value: StoredValue | undefined;
  readonly index: number;
}

/** The part of the platform's key-value service that the system uses. */
export interface KeyValueStore {
  /** Reads the latest committed value; undefined if the key does not exist. */
  readValue(key: string): ResultAsync<StoredValue | undefined, StoreError>;
  /**
   * Writes a value if the key's index is still `modifyIndex`; 0 creates the key.
   *
   * @returns false if another change came first
   */
  compareAndSet(key: string, text: string, modifyIndex: number): ResultAsync<boolean, StoreError>;
  /** Waits until the key's index passes `index`, or `waitMs` at the most. */
  watchValue(key: string, index: number, waitMs: number): ResultAsync<WatchedValue, StoreError>;
  /** Closes idle connections. */
  close(): Promise<void>;
}
