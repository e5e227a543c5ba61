import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { FleetView } from '@guavaspindle/kernel/placement/fleet-view';
import type { PeerInfo } from '@guavaspindle/kernel/placement/peer-info';
import { Role, type Member } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Reads one peer's report. */
function readPeer(member: Member): PeerInfo {
  return {
    incarnation: member.incarnation as IncarnationId,
    usedSlots: new Map(member.slotUse.map(({ server, used }) => [server as ServerId, used])),
  };
}

/** Reads the other dispatchers of this failure domain from the agent's list of members. */
export function readFleet(
  self: IncarnationId,
  domain: string,
  members: readonly Member[],
): FleetView {
  const peers = members.filter(
    (member) =>
      member.role === Role.DISPATCHER &&
      member.domain === domain &&
      member.incarnation !== self &&
      !member.draining,
  );
  return { self, peers: peers.map(readPeer) };
}
