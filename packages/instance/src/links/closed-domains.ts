import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';

/** The failure domains that are evacuated. */
export interface ClosedDomains {
  /** Revision of the store that this is the state of. */
  readonly revision: number;
  readonly domains: ReadonlySet<DomainName>;
}
