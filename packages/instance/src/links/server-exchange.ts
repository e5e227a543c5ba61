import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';

/** The servers of a part that an entry instance knows, as a link passes them between it and the leader. */
export interface ServerExchange {
  /** Computes a digest of the servers that this instance knows, when a link to a leader is opened. */
  computeDigest(): string;
  /**
   * Adds the servers that the leader may have runs on.
   *
   * @returns the servers that earlier leaders may have runs on and that the leader does not know
   */
  exchangeServers(servers: readonly ServerReport[]): readonly ServerReport[];
}
