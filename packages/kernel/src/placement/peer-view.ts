import type { IncarnationId } from '../ids/incarnation-id';
import type { PeerInfo } from './peer-info';

/** What a placement policy knows of the dispatchers of its failure domain. */
export interface PeerView {
  readonly self: IncarnationId;
  readonly peers: readonly PeerInfo[];
}
