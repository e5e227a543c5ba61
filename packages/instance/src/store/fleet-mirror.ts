import type Logger from 'bunyan';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { parseServerEntry } from '@guavaspindle/platform-adapter/servers/parse-server-entry';
import { dropHeartbeatFields } from '@guavaspindle/platform-adapter/servers/drop-heartbeat-fields';
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

/**
 * The end of a server's cold time is computed from the remaining time in its entry, which is some time old when it
 * is read. Smaller differences than this are no change, in milliseconds.
 */
const COLD_TOLERANCE_MS = 1_000;

/** Returns the new report, with the earlier end of the cold time if that has hardly changed. */
function mergeReport(known: ServerReport | undefined, report: ServerReport): ServerReport {
  const { coldUntilMs } = report;
  const knownMs = known?.coldUntilMs;
  return coldUntilMs !== undefined &&
    knownMs !== undefined &&
    Math.abs(coldUntilMs - knownMs) < COLD_TOLERANCE_MS
    ? { ...report, coldUntilMs: knownMs }
    : report;
}

/** The entry of a backend server in the store. */
interface ServerEntry {
  readonly report: ServerReport;
  /** Store revision at which the entry was created. */
  readonly registeredRevision: number;
  /** Text of the entry without the fields that each heartbeat changes. */
  readonly content: string;
}

/** Mirrors the backend servers' entries in the store and passes changes to listeners. */
export class FleetMirror implements MirrorListener {
  private readonly entries = new Map<ServerId, ServerEntry>();

  /** Store revision of the last change of each known entry; older changes are read late. */
  private readonly revisions = new Map<ServerId, number>();

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
    this.entries.forEach(({ report, registeredRevision }) =>
      runIsolated(this.log, { server: report.id }, () =>
        listener.adoptServer(report, registeredRevision),
      ),
    );
  }

  /** Passes no more changes to a listener. */
  dropListener(listener: FleetListener): void {
    this.listeners.delete(listener);
  }

  /** Returns whether there is an entry that cannot be read and stands for no server that is known. */
  hasUnreadableEntry(): boolean {
    return [...this.ignoredKeys].some(
      (key) => !this.entries.has(key.slice(storeKeys.serversPrefix.length) as ServerId),
    );
  }

  /** Lists the known servers by failure domain. */
  listServers(): ReadonlyMap<DomainName, readonly ServerId[]> {
    const byDomain = new Map<DomainName, ServerId[]>();
    this.entries.forEach(({ report: { id, domain } }) => {
      const servers = byDomain.get(domain) ?? [];
      servers.push(id);
      byDomain.set(domain, servers);
    });
    return byDomain;
  }

  onSnapshot({ items, revision }: StoreSnapshot): void {
    const listed = new Set(items.map((item) => this.applyItem(item)));
    const keys = new Set(items.map(({ key }) => key));
    [...this.ignoredKeys]
      .filter((key) => !keys.has(key))
      .forEach((key) => this.ignoredKeys.delete(key));
    this.entries.forEach((_entry, id) => {
      // An entry that was written after the snapshot had begun may be missing from it.
      if (!listed.has(id) && (this.revisions.get(id) ?? 0) <= revision) {
        this.markMissing(id);
      }
    });
  }

  onEvents(events: readonly StoreEvent[]): void {
    // Only the latest state of each entry counts: a server whose entry has gone since is not used any more.
    const latest = new Map(
      events.map((event) => [event.kind === 'written' ? event.item.key : event.key, event]),
    );
    latest.forEach((event) => {
      if (event.kind === 'written') {
        this.applyItem(event.item);
      } else {
        const id = event.key.slice(storeKeys.serversPrefix.length) as ServerId;
        if (event.revision >= (this.revisions.get(id) ?? 0)) {
          this.ignoredKeys.delete(event.key);
          this.markMissing(id);
        }
      }
    });
  }

  /** Drops the servers whose entries have not come back within the grace period. */
  dropMissing(): void {
    const nowMs = this.clock.now();
    this.missingSince.forEach((sinceMs, id) => {
      if (nowMs - sinceMs >= MISSING_ENTRY_GRACE_MS) {
        this.missingSince.delete(id);
        this.entries.delete(id);
        this.revisions.delete(id);
        this.log.info({ server: id }, 'server dropped: its entry has not come back to the store');
        this.listeners.forEach((listener) =>
          runIsolated(this.log, { server: id }, () => listener.dropServer(id)),
        );
      }
    });
  }

  private markMissing(id: ServerId): void {
    if (this.entries.has(id) && !this.missingSince.has(id)) {
      this.missingSince.set(id, this.clock.now());
    }
  }

  private applyItem(item: StoreItem): ServerId | undefined {
    const { key, text, revision, createdRevision: registeredRevision } = item;
    const id = key.slice(storeKeys.serversPrefix.length) as ServerId;
    if (revision < (this.revisions.get(id) ?? 0)) {
      return id;
    }
    const known = this.entries.get(id);
    const content = dropHeartbeatFields(text);
    if (
      known?.content === content &&
      known.registeredRevision === registeredRevision &&
      !this.ignoredKeys.has(key)
    ) {
      // Almost every change is a heartbeat, so the entry is not parsed again.
      this.missingSince.delete(id);
      this.revisions.set(id, revision);
      return id;
    }
    const parsed = parseServerEntry(id, text, this.clock.now());
    if (parsed === undefined) {
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
    const report = mergeReport(known?.report, parsed);
    this.entries.set(id, { report, registeredRevision, content });
    this.revisions.set(id, revision);
    if (known === undefined || JSON.stringify(known.report) !== JSON.stringify(report)) {
      this.listeners.forEach((listener) =>
        runIsolated(this.log, { server: id }, () =>
          listener.adoptServer(report, registeredRevision),
        ),
      );
    }
    return id;
  }
}
