import type { RegisteredInstance } from './registered-instance';

/** Who leads the pool of backend servers. */
export interface LeadershipClaim {
  readonly leader: RegisteredInstance;
  /** Revision of the claim; it is the leader's fencing token. */
  readonly revision: number;
}
