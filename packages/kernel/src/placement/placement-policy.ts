import type { ServerId } from '../ids/server-id';
import type { PeerView } from './peer-view';
import type { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/** Decides how many slots a dispatcher may use and which server gets the next start. */
export interface PlacementPolicy {
  /**
   * Computes how many slots of each server this dispatcher may fill, given the use by its peers.
   */
  computeAllowances(servers: readonly ServerInfo[], peerView: PeerView): Map<ServerId, number>;
  /** Chooses one of the servers that can take a start; `usable` is not empty. */
  chooseServer(usable: readonly PooledServer[]): PooledServer;
}
