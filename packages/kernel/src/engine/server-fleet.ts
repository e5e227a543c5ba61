import type { DomainName } from '../ids/domain-name';
import type { ServerId } from '../ids/server-id';
import type { ServiceName } from '../ids/service-name';
import type { ColdLimits } from './cold-limits';
import { EngineServer } from './engine-server';
import { setColdStartLimits } from './set-cold-start-limits';
import type { PoolLoad } from './pool-load';
import type { Resources } from './resources';
import type { ServerReport } from './server-report';

const NO_SERVERS: readonly EngineServer[] = [];

/** All known backend servers, by service. */
export class ServerFleet {
  private readonly servers = new Map<ServerId, EngineServer>();

  /** The servers of each service, in the order in which they were registered. */
  private readonly byService = new Map<ServiceName, readonly EngineServer[]>();

  private closedDomains: ReadonlySet<DomainName> = new Set();

  private coldLimits: ColdLimits | undefined;

  /** Until when a server may be cold, in monotonic milliseconds. */
  private coldUntilMs = -Infinity;

  private hasColdServers = false;

  /** Sets the failure domains on whose servers nothing more starts. */
  setClosedDomains(domains: ReadonlySet<DomainName>): void {
    this.closedDomains = domains;
    this.servers.forEach((server) => {
      server.isClosed = domains.has(server.report.domain);
    });
  }

  /** Limits the starts on cold servers from now on; undefined: no limits. */
  setColdLimits(limits: ColdLimits | undefined): void {
    this.coldLimits = limits;
  }

  /** Computes anew how many runs may start on each cold server; call it before servers are chosen. */
  applyColdLimits(nowMs: number): void {
    if (this.coldLimits === undefined || (nowMs >= this.coldUntilMs && !this.hasColdServers)) {
      return;
    }
    this.hasColdServers = false;
    this.byService.forEach((pool) => {
      if (setColdStartLimits(pool, this.coldLimits!, nowMs)) {
        this.hasColdServers = true;
      }
    });
  }

  /** Adds a server, or updates the report of a known one. */
  registerServer(report: ServerReport): EngineServer {
    const known = this.servers.get(report.id);
    this.coldUntilMs = Math.max(this.coldUntilMs, report.coldUntilMs ?? -Infinity);
    if (known?.report.service === report.service) {
      known.report = report;
      known.isClosed = this.closedDomains.has(report.domain);
      return known;
    }
    this.dropServer(report.id);
    const server = new EngineServer(report);
    server.isClosed = this.closedDomains.has(report.domain);
    this.servers.set(report.id, server);
    this.byService.set(report.service, [...this.listServersOfService(report.service), server]);
    return server;
  }

  /** Removes a server; its runs must have ended. */
  dropServer(id: ServerId): void {
    const server = this.servers.get(id);
    if (server !== undefined) {
      this.servers.delete(id);
      const { service } = server.report;
      this.byService.set(
        service,
        this.listServersOfService(service).filter((other) => other !== server),
      );
    }
  }

  /** Finds a server by its id. */
  findServer(id: ServerId): EngineServer | undefined {
    return this.servers.get(id);
  }

  /** Lists all servers. */
  listServers(): Iterable<EngineServer> {
    return this.servers.values();
  }

  /** Lists the servers of a service. */
  listServersOfService(service: ServiceName): readonly EngineServer[] {
    return this.byService.get(service) ?? NO_SERVERS;
  }

  /** Counts the servers, the runs that they hold and the free CPU capacity of the usable ones. */
  computeUse(): Omit<PoolLoad, 'openJobs' | 'waitingTasks'> {
    let heldRuns = 0;
    let unconfirmedServers = 0;
    let freeCpuMilli = 0;
    this.servers.forEach((server) => {
      heldRuns += server.runs.size;
      if (server.state === 'unconfirmed') {
        unconfirmedServers += 1;
      } else if (!server.report.isDraining && !server.isClosed && !server.hasForeignReport()) {
        freeCpuMilli += Math.max(0, server.freeCpuMilli);
      }
    });
    return { servers: this.servers.size, heldRuns, unconfirmedServers, freeCpuMilli };
  }

  /**
   * Returns whether any server of the service, busy or not, has the capacity and the label. Also
   * true while no server of the service is known, since servers may still be discovered.
   *
   * @param isOpenOnly - whether the servers of closed failure domains do not count
   */
  canEverRun(
    service: ServiceName,
    demand: Resources,
    label: string | undefined,
    isOpenOnly = false,
  ): boolean {
    const pool = this.listServersOfService(service);
    return (
      pool.length === 0 ||
      pool.some(
        ({ report, isClosed }) =>
          !(isOpenOnly && isClosed) &&
          report.capacity.cpuMilli >= demand.cpuMilli &&
          report.capacity.memoryMb >= demand.memoryMb &&
          report.capacity.gpus >= demand.gpus &&
          (label === undefined || report.labels.includes(label)),
      )
    );
  }
}
