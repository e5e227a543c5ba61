import type Logger from 'bunyan';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { parseServerEntry } from '@guavaspindle/platform-adapter/servers/parse-server-entry';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreItem } from '@guavaspindle/platform-adapter/store/store-item';
import { storeKeys } from '@guavaspindle/platform-adapter/store/store-keys';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import { runIsolated } from '../process/run-isolated';
import type { FleetListener } from './fleet-listener';
import type { MirrorListener } from './mirror-listener';

/**
 * How long a server's entry may be missing before the server is dropped, in milliseconds. Entries that
 * expired while the store was unavailable are back within two seconds of its return.
 */
const MISSING_ENTRY_GRACE_MS = 2_500;

/** Mirrors the backend servers' entries in the store and passes changes to listeners. */
export class FleetMirror implements MirrorListener {
  private readonly reports = new Map<ServerId, ServerReport>();

  /** When the entry of a server went missing, in monotonic milliseconds; it may still come back. */
  private readonly missingSince = new Map<ServerId, number>();

  private readonly ignoredKeys = new Set<string>();

  private readonly listeners = new Set<FleetListener>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Passes all known servers and every later change to a listener. */
  addListener(listener: FleetListener): void {
    this.listeners.add(listener);
    this.reports.forEach((report) =>
      runIsolated(this.log, { server: report.id }, () => listener.adoptServer(report)),
    );
  }

  /** Passes no more changes to a listener. */
  dropListener(listener: FleetListener): void {
    this.listeners.delete(listener);
  }

  /** Lists the known servers by failure domain. */
  listServers(): ReadonlyMap<DomainName, readonly ServerId[]> {
    const byDomain = new Map<DomainName, ServerId[]>();
    this.reports.forEach(({ id, domain }) => {
      const servers = byDomain.get(domain) ?? [];
      servers.push(id);
      byDomain.set(domain, servers);
    });
    return byDomain;
  }

  onSnapshot({ items }: StoreSnapshot): void {
    const listed = new Set(items.map((item) => this.applyItem(item)));
    this.reports.forEach((_report, id) => {
      if (!listed.has(id)) {
        this.markMissing(id);
      }
    });
  }

  onEvents(events: readonly StoreEvent[]): void {
    events.forEach((event) => {
      if (event.kind === 'written') {
        this.applyItem(event.item);
      } else {
        this.ignoredKeys.delete(event.key);
        this.markMissing(event.key.slice(storeKeys.serversPrefix.length) as ServerId);
      }
    });
  }

  /** Drops the servers whose entries have not come back within the grace period. */
  dropMissing(): void {
    const nowMs = this.clock.now();
    this.missingSince.forEach((sinceMs, id) => {
      if (nowMs - sinceMs >= MISSING_ENTRY_GRACE_MS) {
        this.missingSince.delete(id);
        this.reports.delete(id);
        this.log.info({ server: id }, 'server dropped: its entry has not come back to the store');
        this.listeners.forEach((listener) =>
          runIsolated(this.log, { server: id }, () => listener.dropServer(id)),
        );
      }
    });
  }

  private markMissing(id: ServerId): void {
    if (this.reports.has(id) && !this.missingSince.has(id)) {
      this.missingSince.set(id, this.clock.now());
    }
  }

  private applyItem({ key, text }: StoreItem): ServerId | undefined {
    const id = key.slice(storeKeys.serversPrefix.length) as ServerId;
    const report = parseServerEntry(id, text);
    if (report === undefined) {
      if (!this.ignoredKeys.has(key)) {
        this.ignoredKeys.add(key);
        this.log.warn({ key }, 'ignoring an invalid server entry in the store');
      }
      // The entry names no server to use, like one that is gone.
      this.markMissing(id);
      return undefined;
    }
    this.ignoredKeys.delete(key);
    this.missingSince.delete(id);
    const known = this.reports.get(id);
    this.reports.set(id, report);
    if (known === undefined || JSON.stringify(known) !== JSON.stringify(report)) {
      this.listeners.forEach((listener) =>
        runIsolated(this.log, { server: id }, () => listener.adoptServer(report)),
      );
    }
    return id;
  }
}
