import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './store-error';
import type { StoredValue } from './stored-value';

/** The result of a watch: the current value, and the index for the next watch. */
interface WatchedValue {
  readonly value: StoredValue | undefined;
  readonly index: number;
}

/** The operations of the platform's key-value store that the system uses. */
export interface KeyValueStore {
  /** Reads the latest committed value; undefined if the key does not exist. */
  readValue(key: string): ResultAsync<StoredValue | undefined, StoreError>;
  /**
   * Writes a value if the key's index is `modifyIndex`; 0: the key must not exist.
   *
   * @returns false if the key's index differs; nothing is written then
   */
  compareAndSet(key: string, text: string, modifyIndex: number): ResultAsync<boolean, StoreError>;
  /** Waits until the key's index exceeds `index`, or for `waitMs`, and returns the value. */
  watchValue(key: string, index: number, waitMs: number): ResultAsync<WatchedValue, StoreError>;
  /** Closes all connections. */
  close(): Promise<void>;
}
