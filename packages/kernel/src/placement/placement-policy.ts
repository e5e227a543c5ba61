import type { ServerId } from '../ids/server-id';
import type { PeerView } from './peer-view';
import type { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/** Decides which slots a dispatcher may use and which server gets the next start. */
export interface PlacementPolicy {
  /** Slots of each server that this dispatcher may fill, given what its peers report. */
  computeAllowances(servers: readonly ServerInfo[], peerView: PeerView): Map<ServerId, number>;
  /** Chooses one of the servers that can take a start; the list is not empty. */
  chooseServer(usable: readonly PooledServer[]): PooledServer;
}
