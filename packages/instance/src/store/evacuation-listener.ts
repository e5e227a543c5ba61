import type { ClosedDomains } from '../links/closed-domains';

/** Is told which failure domains are evacuated. */
export interface EvacuationListener {
  setClosedDomains(closed: ClosedDomains): void;
}
