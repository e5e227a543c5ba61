import { placementPolicies } from './placement-policies';
import type { FleetView } from './fleet-view';
import type { PlacementPolicy } from './placement-policy';
import { rankNodes } from './rank-nodes';
import type { ServerAccount } from './server-account';
import type { ServerInfo } from './server-info';

/** Free slots of a peer's server that are left to the peer, which fills them without asking. */
const OVERFLOW_RESERVE = 2;

/** Sums the slots of a server that the peers report as used. */
function countPeerUse(server: ServerInfo, fleet: FleetView): number {
  return fleet.peers.reduce((sum, peer) => sum + (peer.usedSlots.get(server.id) ?? 0), 0);
}

/**
 * Assigns each server to one dispatcher by rendezvous hash. The others use its slots only while
 * more than a reserve of them is reported free.
 */
class AssignedPlacement implements PlacementPolicy {
  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeAllowance(server: ServerInfo, fleet: FleetView): number {
    const nodes = [fleet.self, ...fleet.peers.map((peer) => peer.incarnation)];
    const reserve = rankNodes(server.id, nodes)[0] === fleet.self ? 0 : OVERFLOW_RESERVE;
    return Math.max(0, server.slots - countPeerUse(server, fleet) - reserve);
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chooseServer(usable: readonly ServerAccount[]): ServerAccount {
    return usable.reduce((best, next) => (next.countFree() > best.countFree() ? next : best));
  }
}

placementPolicies.registerPlugin('assigned', () => new AssignedPlacement());
