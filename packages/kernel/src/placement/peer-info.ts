import type { IncarnationId } from '../ids/incarnation-id';
import type { ServerId } from '../ids/server-id';

/** Another dispatcher of the same failure domain, as last heard of. */
export interface PeerInfo {
  readonly incarnation: IncarnationId;
  /** Slots that the peer uses now, by server. */
  readonly usedSlots: ReadonlyMap<ServerId, number>;
}
