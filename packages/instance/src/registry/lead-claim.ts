import type { InstanceEntry } from './instance-entry';

/** Who leads the pool of backend servers. */
export interface LeadClaim {
  readonly leader: InstanceEntry;
  /** Revision of the claim; it is the leader's fencing token. */
  readonly revision: number;
}
