import type { ServerId } from '../ids/server-id';
import type { Demand } from '../submission/demand';
import { fitsDemand } from './fits-demand';
import type { FleetView } from './fleet-view';
import type { PlacementPolicy } from './placement-policy';
import { ServerAccount } from './server-account';
import type { ServerInfo } from './server-info';

/** Ejections stop at this part of the servers, so that bad tasks cannot empty the pool. */
const MAX_SUSPECT_PART = 0.5;

/** All backend servers of the failure domain with this dispatcher's use of their slots. */
export class ServerPool {
  private readonly accounts = new Map<ServerId, ServerAccount>();

  private fleet: FleetView;

  constructor(
    private readonly policy: PlacementPolicy,
    fleet: FleetView,
  ) {
    this.fleet = fleet;
  }

  /** Adopts a new instance list; servers with attempts in progress stay until those end. */
  adoptServers(servers: readonly ServerInfo[]): void {
    const listed = new Map(servers.map((server) => [server.id, server]));
    this.accounts.forEach((account, id) => {
      const info = listed.get(id);
      if (info !== undefined) {
        account.info = info;
      } else if (account.running > 0) {
        account.info = { ...account.info, leaving: true };
      } else {
        this.accounts.delete(id);
      }
    });
    listed.forEach((info, id) => {
      const known = this.accounts.get(id);
      if (known?.info.address !== info.address) {
        this.accounts.set(id, new ServerAccount(info));
      }
    });
    this.computeAllowances();
  }

  /** Adopts what the peers report. */
  adoptFleet(fleet: FleetView): void {
    this.fleet = fleet;
    this.computeAllowances();
  }

  /** Finds a server's account. */
  findAccount(id: ServerId): ServerAccount | undefined {
    return this.accounts.get(id);
  }

  /** Chooses the server for the next start; undefined if none can take it now. */
  chooseServer(demand: Demand | undefined, nowMs: number): ServerAccount | undefined {
    const usable = [...this.accounts.values()].filter(
      (account) => account.canStart(nowMs) && fitsDemand(account.info.capacity, demand),
    );
    return usable.length === 0 ? undefined : this.policy.chooseServer(usable);
  }

  /** Tells whether any server is known, free or not. */
  hasServers(): boolean {
    return this.accounts.size > 0;
  }

  /** Tells whether any server could take a start of modest demand now. */
  hasFreeSlot(nowMs: number): boolean {
    return [...this.accounts.values()].some((account) => account.canStart(nowMs));
  }

  /** Tells whether any server, free or not, has the capacity for the demand. */
  canEverFit(demand: Demand | undefined): boolean {
    return [...this.accounts.values()].some((account) => fitsDemand(account.info.capacity, demand));
  }

  /**
   * Slots that this dispatcher can expect to fill, busy ones included; 0 only if no server takes
   * work. Slots that the peers use come free again, so it is never less than an even part.
   */
  countSlots(): number {
    let allowed = 0;
    let usable = 0;
    this.accounts.forEach((account) => {
      if (!account.isLeaving() && !account.health.isSuspect()) {
        allowed += account.allowance;
        usable += account.info.slots;
      }
    });
    const evenPart = Math.ceil(usable / (this.fleet.peers.length + 1));
    return Math.max(allowed, evenPart);
  }

  /** Slots in use by this dispatcher, by server; servers without any are left out. */
  collectUse(): Map<ServerId, number> {
    const use = new Map<ServerId, number>();
    this.accounts.forEach((account, id) => {
      if (account.running > 0) {
        use.set(id, account.running);
      }
    });
    return use;
  }

  /** Records a failed attempt; returns true if it ejected the server. */
  recordFailure(account: ServerAccount, nowMs: number): boolean {
    const others = [...this.accounts.values()].filter((other) => other !== account);
    const rates = others.map((other) => other.health.computeFailureRate());
    const meanRate = rates.length === 0 ? 0 : rates.reduce((a, b) => a + b, 0) / rates.length;
    const suspects = others.filter((other) => other.health.isSuspect()).length;
    const canEject = suspects + 1 <= this.accounts.size * MAX_SUSPECT_PART;
    return account.health.recordFailure(nowMs, meanRate, canEject);
  }

  private computeAllowances(): void {
    const servers = [...this.accounts.values()].map((account) => account.info);
    const allowances = this.policy.computeAllowances(servers, this.fleet);
    this.accounts.forEach((account, id) => {
      account.allowance = allowances.get(id) ?? 0;
    });
  }
}
