import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import { isServerInPart } from '@guavaspindle/kernel/layout/is-server-in-part';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { FleetListener } from './fleet-listener';

/**
 * How long a server without an entry is remembered if no leader settles it, in milliseconds; as long as a leader
 * polls it.
 */
const UNLISTED_RETENTION_MS = 60_000;

interface KnownServer {
  readonly report: ServerReport;
  /** When the server was found without an entry in the store, in monotonic milliseconds; undefined while it has one. */
  readonly unlistedAtMs: number | undefined;
}

/** Two entries of one id with other addresses or failure domains may stand for two servers with runs. */
function buildKey({ id, address, domain }: ServerReport): string {
  return `${id}@${address}@${domain}`;
}

/**
 * Remembers every server that a leader may have runs on, also after its entry has gone from the store, until a
 * leader tells that it has settled the server: the owners of the jobs with runs there know of them. A process
 * that starts after an entry has gone learns the server from the leader when its link opens, and passes it on
 * to the next leader before its jobs. So no leader takes the servers that it knows for all there are.
 */
export class FleetMemory implements FleetListener {
  private readonly servers = new Map<string, KnownServer>();

  /** Servers that the leader has settled before this instance has found their entries gone. */
  private readonly settledEarly = new Set<ServerId>();

  constructor(private readonly clock: Clock) {}

  adoptServer(report: ServerReport): void {
    this.settledEarly.delete(report.id);
    this.markUnlisted(report.id);
    this.servers.set(buildKey(report), { report, unlistedAtMs: undefined });
  }

  dropServer(id: ServerId): void {
    this.markUnlisted(id);
    if (this.settledEarly.delete(id)) {
      this.settleServers([id]);
    }
  }

  /** Adds the servers that a leader may have runs on. */
  mergeServers(reports: readonly ServerReport[]): void {
    reports.forEach((report) => {
      const key = buildKey(report);
      if (!this.servers.has(key)) {
        this.servers.set(key, { report, unlistedAtMs: this.clock.now() });
      }
    });
  }

  /** Forgets servers without an entry that the leader has settled. */
  settleServers(ids: readonly ServerId[]): void {
    ids.forEach((id) => {
      const variants = [...this.servers].filter(([, { report }]) => report.id === id);
      const unlisted = variants.filter(([, { unlistedAtMs }]) => unlistedAtMs !== undefined);
      unlisted.forEach(([key]) => this.servers.delete(key));
      if (unlisted.length === 0 && variants.length > 0) {
        this.settledEarly.add(id);
      }
    });
  }

  /** Waits for another leader of a part to settle its servers: it may still use those that the last one has settled. */
  beginTerm(part: PoolPart): void {
    this.listServers(part).forEach(({ id }) => this.settledEarly.delete(id));
  }

  /** Forgets the servers of a part without an entry: this instance has no jobs that may run there. */
  forgetUnlistedServers(part: PoolPart): void {
    this.listKnown(part)
      .filter(({ unlistedAtMs }) => unlistedAtMs !== undefined)
      .forEach(({ report }) => this.servers.delete(buildKey(report)));
  }

  /** Lists the servers of a part that a leader may have runs on. */
  listServers(part: PoolPart): readonly ServerReport[] {
    return this.listKnown(part).map(({ report }) => report);
  }

  /**
   * Returns whether runs may be in progress where an entry does not point any more: it names another address or part
   * now. Two leaders must not call the server, so that nobody can find out.
   */
  hasMovedServers(part: PoolPart): boolean {
    return this.listKnown(part).some(
      ({ report, unlistedAtMs }) => unlistedAtMs !== undefined && this.isListed(report.id),
    );
  }

  private listKnown(part: PoolPart): readonly KnownServer[] {
    const oldestMs = this.clock.now() - UNLISTED_RETENTION_MS;
    this.servers.forEach(({ unlistedAtMs = Infinity }, key) => {
      if (unlistedAtMs < oldestMs) {
        this.servers.delete(key);
      }
    });
    return [...this.servers.values()].filter(({ report }) => isServerInPart(part, report));
  }

  private isListed(id: ServerId): boolean {
    return [...this.servers.values()].some(
      ({ report, unlistedAtMs }) => report.id === id && unlistedAtMs === undefined,
    );
  }

  private markUnlisted(id: ServerId): void {
    const unlistedAtMs = this.clock.now();
    this.servers.forEach((server, key) => {
      if (server.report.id === id && server.unlistedAtMs === undefined) {
        this.servers.set(key, { ...server, unlistedAtMs });
      }
    });
  }
}
