import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { PeerView } from '@guavaspindle/kernel/placement/peer-view';
import {
  Role,
  type Member,
  type ReportSlotsRequest,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** The other dispatchers of the failure domain, and the slots that they report as used. */
export class PeerDirectory {
  private peers: readonly Member[] = [];

  private readonly usedSlots = new Map<string, ReadonlyMap<ServerId, number>>();

  constructor(
    private readonly ownIncarnation: IncarnationId,
    private readonly domain: string,
  ) {}

  /**
   * Adopts the agent's list of members. Keeps the other dispatchers of the failure domain that are
   * not draining, and drops the reports of peers that are no longer among them.
   */
  adoptMembers(members: readonly Member[]): void {
    this.peers = members.filter(
      (member) =>
        member.role === Role.DISPATCHER &&
        member.domain === this.domain &&
        member.incarnation !== this.ownIncarnation &&
        !member.draining,
    );
    const present = new Set(this.peers.map((peer) => peer.incarnation));
    [...this.usedSlots.keys()]
      .filter((incarnation) => !present.has(incarnation))
      .forEach((incarnation) => this.usedSlots.delete(incarnation));
  }

  /** Stores a peer's slot report in place of its previous one. */
  recordSlotReport({ incarnation, slotUse }: ReportSlotsRequest): void {
    this.usedSlots.set(
      incarnation,
      new Map(slotUse.map(({ server, used }) => [server as ServerId, used])),
    );
  }

  /** Returns the peers of the agent's latest list. */
  listPeers(): readonly Member[] {
    return this.peers;
  }

  /** Builds the kernel's view of the peers and of the slots that they use. */
  buildPeerView(): PeerView {
    return {
      self: this.ownIncarnation,
      peers: this.peers.map((peer) => ({
        incarnation: peer.incarnation as IncarnationId,
        usedSlots: this.usedSlots.get(peer.incarnation) ?? new Map<ServerId, number>(),
      })),
    };
  }
}
