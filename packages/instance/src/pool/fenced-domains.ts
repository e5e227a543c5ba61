import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';

/**
 * The failure domains in which this leader must not order anything with its present fencing token, since a server
 * there has seen a higher one. A server that has started again since knows no token, and would take orders of this leader
 * beside those of the other one.
 *
 * One domain may have been led by one of its own instances while it was cut off, so this leader goes on in the others.
 * No instance leads two domains that way: higher tokens in two of them belong to another leader of all servers.
 */
export class FencedDomains {
  private readonly domains = new Set<DomainName>();

  /**
   * @param listServers - lists the servers of this leader
   * @param onFenced - called when a server has seen a higher token
   */
  constructor(
    private readonly listServers: () => Iterable<EngineServer>,
    private readonly onFenced: () => void,
  ) {}

  /** Records that a server in a domain has seen a higher token: nothing more starts there. */
  recordFence(domain: DomainName): void {
    this.domains.add(domain);
    for (const server of this.listServers()) {
      if (this.hasDomain(server.report.domain)) {
        server.state = 'unconfirmed';
      }
    }
    this.onFenced();
  }

  /** Returns whether nothing may be ordered from the servers of a domain. */
  hasDomain(domain: DomainName): boolean {
    return this.domains.size > 1 || this.domains.has(domain);
  }

  /** Returns whether nothing may be ordered from any server. */
  hasAllServers(): boolean {
    return (
      this.domains.size > 0 &&
      [...this.listServers()].every(({ report }) => this.hasDomain(report.domain))
    );
  }

  /** Begins anew with a higher token. */
  clear(): void {
    this.domains.clear();
  }
}
