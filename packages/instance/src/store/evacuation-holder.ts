import type Logger from 'bunyan';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import { storeKeys } from '@guavaspindle/platform-adapter/store/store-keys';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import type { ClosedDomains } from '../links/closed-domains';
import { runIsolated } from '../process/run-isolated';
import type { EvacuationListener } from './evacuation-listener';
import type { MirrorListener } from './mirror-listener';

const MS_PER_S = 1_000;

/** Finds the failure domain that a key asks to evacuate; undefined for other keys. */
function findDomain(key: string): DomainName | undefined {
  const prefix = storeKeys.evacuationsPrefix;
  return key.startsWith(prefix) && key.length > prefix.length
    ? (key.slice(prefix.length) as DomainName)
    : undefined;
}

/**
 * Holds the operator's requests to evacuate failure domains, as the store or another instance last told them, and
 * passes changes to listeners. What was known holds while the store is unreachable.
 */
export class EvacuationHolder implements MirrorListener {
  private isRead = false;

  /** Revision of the store that `sinceMs` is the state of. */
  private revision = 0;

  /** When this instance learned of each request, in monotonic milliseconds. */
  private sinceMs: ReadonlyMap<DomainName, number> = new Map();

  private readonly listeners = new Set<EvacuationListener>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** The failure domains that are evacuated; undefined until the store has been read. */
  findClosedDomains(): ClosedDomains | undefined {
    return this.isRead ? this.buildClosedDomains() : undefined;
  }

  /** Returns the age of each request, in seconds since this instance learned of it. */
  computeAgesS(): ReadonlyMap<DomainName, number> {
    const nowMs = this.clock.now();
    return new Map(
      [...this.sinceMs].map(([domain, sinceMs]) => [domain, (nowMs - sinceMs) / MS_PER_S]),
    );
  }

  /** Passes the known state, and every later change, to a listener. */
  addListener(listener: EvacuationListener): void {
    this.listeners.add(listener);
    if (this.isRead || this.sinceMs.size > 0) {
      listener.setClosedDomains(this.buildClosedDomains());
    }
  }

  /** Passes no more changes to a listener. */
  dropListener(listener: EvacuationListener): void {
    this.listeners.delete(listener);
  }

  onSnapshot({ items, revision }: StoreSnapshot): void {
    const wasRead = this.isRead;
    this.isRead = true;
    // Another instance may have told a later state.
    const isOlder = revision < this.revision;
    const listed = items.map(({ key }) => findDomain(key)).filter((name) => name !== undefined);
    const domains = new Set(isOlder ? this.sinceMs.keys() : listed);
    this.replaceDomains(domains, Math.max(revision, this.revision), 'store', !wasRead);
  }

  onEvents(events: readonly StoreEvent[]): void {
    const domains = new Set(this.sinceMs.keys());
    let { revision } = this;
    events.forEach((event) => {
      const isWritten = event.kind === 'written';
      const { key } = isWritten ? event.item : event;
      const eventRevision = isWritten ? event.item.revision : event.revision;
      // Another instance may have told a later state.
      if (eventRevision > this.revision) {
        revision = Math.max(revision, eventRevision);
        const domain = findDomain(key);
        if (domain !== undefined && isWritten) {
          domains.add(domain);
        } else if (domain !== undefined) {
          domains.delete(domain);
        }
      }
    });
    this.replaceDomains(domains, revision, 'store');
  }

  /** Takes what another instance knows, if that is the state of a later revision. */
  mergeClosedDomains({ domains, revision }: ClosedDomains): void {
    if (revision > this.revision) {
      this.replaceDomains(domains, revision, 'instance');
    }
  }

  private replaceDomains(
    domains: ReadonlySet<DomainName>,
    revision: number,
    source: 'store' | 'instance',
    isFirstRead = false,
  ): void {
    const { log } = this;
    const earlier = this.sinceMs;
    const nowMs = this.clock.now();
    const added = [...domains].filter((domain) => !earlier.has(domain));
    const removed = [...earlier.keys()].filter((domain) => !domains.has(domain));
    this.revision = revision;
    this.sinceMs = new Map([...domains].map((domain) => [domain, earlier.get(domain) ?? nowMs]));
    added.forEach((domain) =>
      log.warn({ domain, revision, source }, 'evacuation of a failure domain begins'),
    );
    removed.forEach((domain) =>
      log.warn(
        { domain, revision, source, ageMs: Math.round(nowMs - earlier.get(domain)!) },
        'evacuation of a failure domain is withdrawn',
      ),
    );
    if (added.length > 0 || removed.length > 0 || isFirstRead) {
      const closed = this.buildClosedDomains();
      this.listeners.forEach((listener) =>
        runIsolated(log, { revision }, () => listener.setClosedDomains(closed)),
      );
    }
  }

  private buildClosedDomains(): ClosedDomains {
    return { revision: this.revision, domains: new Set(this.sinceMs.keys()) };
  }
}
