import type { ServerId } from '../ids/server-id';
import { assignEvenly } from './assign-evenly';
import { placementPolicies } from './placement-policies';
import type { FleetView } from './fleet-view';
import type { PlacementPolicy } from './placement-policy';
import type { ServerAccount } from './server-account';
import type { ServerInfo } from './server-info';

/** Free slots of a peer's server that are left to the peer, which fills them without asking. */
const OVERFLOW_RESERVE = 2;

/** Sums the slots of a server that the peers report as used. */
function countPeerUse(server: ServerInfo, fleet: FleetView): number {
  return fleet.peers.reduce((sum, peer) => sum + (peer.usedSlots.get(server.id) ?? 0), 0);
}

/** Prefers more free slots; among equals the server that waited longest, so that all take turns. */
function isBetter(next: ServerAccount, best: ServerAccount): boolean {
  const more = next.countFree() - best.countFree();
  return more > 0 || (more === 0 && next.startedAtMs < best.startedAtMs);
}

/**
 * Assigns each server to one dispatcher: the one that ranks first for it by rendezvous hash and
 * has not got its even part of the servers yet. The others use a server's slots only while more
 * than a reserve of them is reported free.
 */
class AssignedPlacement implements PlacementPolicy {
  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeAllowances(servers: readonly ServerInfo[], fleet: FleetView): Map<ServerId, number> {
    const nodes = [fleet.self, ...fleet.peers.map((peer) => peer.incarnation)];
    const assigned = assignEvenly(
      servers.map((server) => server.id),
      nodes,
    );
    return new Map(
      servers.map((server) => {
        const reserve = assigned.get(server.id) === fleet.self ? 0 : OVERFLOW_RESERVE;
        return [server.id, Math.max(0, server.slots - countPeerUse(server, fleet) - reserve)];
      }),
    );
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chooseServer(usable: readonly ServerAccount[]): ServerAccount {
    return usable.reduce((best, next) => (isBetter(next, best) ? next : best));
  }
}

placementPolicies.registerPlugin('assigned', () => new AssignedPlacement());
