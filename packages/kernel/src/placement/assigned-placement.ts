import type { ServerId } from '../ids/server-id';
import { assignEvenly } from './assign-evenly';
import { placementPolicies } from './placement-policies';
import type { PeerView } from './peer-view';
import type { PlacementPolicy } from './placement-policy';
import type { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/**
 * Free slots of a peer's server that are left to the peer, which fills them without asking others.
 */
const PEER_RESERVED_SLOTS = 2;

/** Counts the slots of a server that the peers report as used. */
function countSlotsUsedByPeers(server: ServerInfo, peerView: PeerView): number {
  return peerView.peers.reduce((sum, peer) => sum + (peer.usedSlots.get(server.id) ?? 0), 0);
}

/**
 * Prefers more free slots, then the least recently used server, so that equal servers take turns.
 */
function isBetter(next: PooledServer, best: PooledServer): boolean {
  const more = next.countFreeSlots() - best.countFreeSlots();
  return more > 0 || (more === 0 && next.lastStartAtMs < best.lastStartAtMs);
}

/**
 * Assigns each server to one dispatcher: the first in the server's rendezvous ranking that does not
 * have its even share of servers yet. The other dispatchers use the server's slots only
 * while more than a reserve of them is reported free.
 */
class AssignedPlacement implements PlacementPolicy {
  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeAllowances(servers: readonly ServerInfo[], peerView: PeerView): Map<ServerId, number> {
    const nodes = [peerView.self, ...peerView.peers.map((peer) => peer.incarnation)];
    const assigned = assignEvenly(
      servers.map((server) => server.id),
      nodes,
    );
    return new Map(
      servers.map((server) => {
        const reserve = assigned.get(server.id) === peerView.self ? 0 : PEER_RESERVED_SLOTS;
        return [
          server.id,
          Math.max(0, server.slots - countSlotsUsedByPeers(server, peerView) - reserve),
        ];
      }),
    );
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chooseServer(usable: readonly PooledServer[]): PooledServer {
    return usable.reduce((best, next) => (isBetter(next, best) ? next : best));
  }
}

placementPolicies.registerPlugin('assigned', () => new AssignedPlacement());
