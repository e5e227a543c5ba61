import type { RegisteredInstance } from './registered-instance';

/** A claim of the leadership over a part of the backend servers, as recorded in the store. */
export interface LeadershipClaim {
  readonly leader: RegisteredInstance;
  /** Store revision of the claim, which serves as the leader's fencing token. */
  readonly revision: number;
}
