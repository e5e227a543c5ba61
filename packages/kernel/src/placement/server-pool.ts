import type { ServerId } from '../ids/server-id';
import type { Demand } from '../submission/demand';
import { fitsDemand } from './fits-demand';
import type { PeerView } from './peer-view';
import type { PlacementPolicy } from './placement-policy';
import { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/** At most this fraction of the servers is ejected, so that faulty tasks cannot empty the pool. */
const MAX_SUSPECT_FRACTION = 0.5;

/** The backend servers of a failure domain, with this dispatcher's use of their slots. */
export class ServerPool {
  private readonly servers = new Map<ServerId, PooledServer>();

  private peerView: PeerView;

  constructor(
    private readonly policy: PlacementPolicy,
    peerView: PeerView,
  ) {
    this.peerView = peerView;
  }

  /**
   * Adopts a new instance list; unlisted servers stay until their attempts in progress have ended.
   */
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

  /** Adopts a new state of the peers. */
  adoptPeers(peerView: PeerView): void {
    this.peerView = peerView;
    this.computeAllowances();
  }

  /** Finds a server by its id. */
  findServer(id: ServerId): PooledServer | undefined {
    return this.servers.get(id);
  }

  /** Chooses the server for the next start; undefined if no server can take it now. */
  chooseServer(demand: Demand | undefined, nowMs: number): PooledServer | undefined {
    const usable = [...this.servers.values()].filter(
      (server) => server.canStart(nowMs) && fitsDemand(server.info.capacity, demand),
    );
    return usable.length === 0 ? undefined : this.policy.chooseServer(usable);
  }

  /** Returns whether any server is known, free or not. */
  hasServers(): boolean {
    return this.servers.size > 0;
  }

  /** Returns whether any server can take a start now, regardless of its demand. */
  hasFreeSlot(nowMs: number): boolean {
    return [...this.servers.values()].some((server) => server.canStart(nowMs));
  }

  /** Returns whether any server, free or not, has the capacity for the demand. */
  canEverFit(demand: Demand | undefined): boolean {
    return [...this.servers.values()].some((server) => fitsDemand(server.info.capacity, demand));
  }

  /**
   * Counts the slots that this dispatcher can expect to fill, including busy ones; 0 only if no
   * server accepts work. Slots that the peers use become free again, so the count is at least an
   * even share.
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

  /** Collects the slots that this dispatcher uses, by server; omits servers without any. */
  collectUsedSlots(): Map<ServerId, number> {
    const usedSlots = new Map<ServerId, number>();
    this.servers.forEach((server, id) => {
      if (server.running > 0) {
        usedSlots.set(id, server.running);
      }
    });
    return usedSlots;
  }

  /** Records a failed attempt. Returns true if it ejected the server. */
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
