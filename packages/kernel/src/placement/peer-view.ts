import type { IncarnationId } from '../ids/incarnation-id';
import type { PeerInfo } from './peer-info';

/** The dispatchers of a failure domain as one of them knows them. */
export interface PeerView {
  readonly self: IncarnationId;
  readonly peers: readonly PeerInfo[];
}
