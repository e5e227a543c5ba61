import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';

/** The backend servers of a failure domain at one index of the instance list. */
export interface ServerListing {
  /** Index of the list; the next watch starts from it. */
  readonly index: number;
  readonly servers: readonly ServerInfo[];
}
