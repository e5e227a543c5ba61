import type { ResultAsync } from 'neverthrow';
import type { StoreError } from '../store/store-error';
import type { ServerListing } from './server-listing';

/** The platform's lagging list of instances. */
export interface InstanceList {
  /** Waits until the list passes `index`, or `waitMs` at the most, and returns it. */
  watchServers(index: number, waitMs: number): ResultAsync<ServerListing, StoreError>;
  /** Closes idle connections. */
  close(): Promise<void>;
}
