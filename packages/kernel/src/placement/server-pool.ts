import type { ServerId } from '../ids/server-id';
import type { Demand } from '../submission/demand';
import { fitsDemand } from './fits-demand';
import type { PeerView } from './peer-view';
import type { PlacementPolicy } from './placement-policy';
import { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/** Ejections stop at this part of the servers, so that bad tasks cannot empty the pool. */
const MAX_SUSPECT_FRACTION = 0.5;

/** All backend servers of the failure domain with this dispatcher's use of their slots. */
export class ServerPool {
  private readonly servers = new Map<ServerId, PooledServer>();

  private peerView: PeerView;

  constructor(
    private readonly policy: PlacementPolicy,
    peerView: PeerView,
  ) {
    this.peerView = peerView;
  }

  /** Adopts a new instance list; servers with attempts in progress stay until those end. */
  adoptServers(servers: readonly ServerInfo[]): void {
    const listed = new Map(servers.map((server) => [server.id, server]));
    this.servers.forEach((server, id) => {
      const info = listed.get(id);
      if (info !== undefined) {
        server.info = info;
      } else if (server.running > 0) {
        server.info = { ...server.info, leaving: true };
      } else {
        this.servers.delete(id);
      }
    });
    listed.forEach((info, id) => {
      const known = this.servers.get(id);
      if (known?.info.address !== info.address) {
        this.servers.set(id, new PooledServer(info));
      }
    });
    this.computeAllowances();
  }

  /** Adopts what the peers report. */
  adoptPeers(peerView: PeerView): void {
    this.peerView = peerView;
    this.computeAllowances();
  }

  /** Finds a server's account. */
  findServer(id: ServerId): PooledServer | undefined {
    return this.servers.get(id);
  }

  /** Chooses the server for the next start; undefined if none can take it now. */
  chooseServer(demand: Demand | undefined, nowMs: number): PooledServer | undefined {
    const usable = [...this.servers.values()].filter(
      (server) => server.canStart(nowMs) && fitsDemand(server.info.capacity, demand),
    );
    return usable.length === 0 ? undefined : this.policy.chooseServer(usable);
  }

  /** Tells whether any server is known, free or not. */
  hasServers(): boolean {
    return this.servers.size > 0;
  }

  /** Tells whether any server could take a start of modest demand now. */
  hasFreeSlot(nowMs: number): boolean {
    return [...this.servers.values()].some((server) => server.canStart(nowMs));
  }

  /** Tells whether any server, free or not, has the capacity for the demand. */
  canEverFit(demand: Demand | undefined): boolean {
    return [...this.servers.values()].some((server) => fitsDemand(server.info.capacity, demand));
  }

  /**
   * Slots that this dispatcher can expect to fill, busy ones included; 0 only if no server takes
   * work. Slots that the peers use come free again, so it is never less than an even part.
   */
  countSlots(): number {
    let allowed = 0;
    let usable = 0;
    this.servers.forEach((server) => {
      if (!server.isLeaving() && !server.health.isSuspect()) {
        allowed += server.allowance;
        usable += server.info.slots;
      }
    });
    const evenShare = Math.ceil(usable / (this.peerView.peers.length + 1));
    return Math.max(allowed, evenShare);
  }

  /** Slots in use by this dispatcher, by server; servers without any are left out. */
  collectUsedSlots(): Map<ServerId, number> {
    const usedSlots = new Map<ServerId, number>();
    this.servers.forEach((server, id) => {
      if (server.running > 0) {
        usedSlots.set(id, server.running);
      }
    });
    return usedSlots;
  }

  /** Records a failed attempt; returns true if it ejected the server. */
  recordFailure(server: PooledServer, nowMs: number): boolean {
    const others = [...this.servers.values()].filter((other) => other !== server);
    const rates = others.map((other) => other.health.computeFailureRate());
    const meanRate = rates.length === 0 ? 0 : rates.reduce((a, b) => a + b, 0) / rates.length;
    const suspects = others.filter((other) => other.health.isSuspect()).length;
    const canEject = suspects + 1 <= this.servers.size * MAX_SUSPECT_FRACTION;
    return server.health.recordFailure(nowMs, meanRate, canEject);
  }

  private computeAllowances(): void {
    const servers = [...this.servers.values()].map((server) => server.info);
    const allowances = this.policy.computeAllowances(servers, this.peerView);
    this.servers.forEach((server, id) => {
      server.allowance = allowances.get(id) ?? 0;
    });
  }
}
