import type { ResultAsync } from 'neverthrow';
import type { StoreError } from '../store/store-error';
import type { ServerListing } from './server-listing';

/** The platform's list of backend servers, which may lag behind their actual state. */
export interface InstanceList {
  /** Waits until the list's index exceeds `index`, or for `waitMs`, and returns the list. */
  watchServers(index: number, waitMs: number): ResultAsync<ServerListing, StoreError>;
  /** Closes idle connections. */
  close(): Promise<void>;
}
