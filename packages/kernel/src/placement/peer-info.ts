import type { IncarnationId } from '../ids/incarnation-id';
import type { ServerId } from '../ids/server-id';

/** The last known state of another dispatcher of the same failure domain. */
export interface PeerInfo {
  readonly incarnation: IncarnationId;
  /** Number of slots that the peer uses, by server. */
  readonly usedSlots: ReadonlyMap<ServerId, number>;
}
