import type { DomainName } from '../ids/domain-name';
import type { LimitShare } from '../limits/limit-share';
import type { PlacementPolicy } from '../placement/placement-policy';
import type { PeerView } from '../placement/peer-view';
import type { QueuePolicy } from '../queue/queue-policy';

/** Options of a dispatch kernel. */
export interface KernelOptions {
  readonly domain: DomainName;
  /** This dispatcher's position among those that divide the limits of the failure domain. */
  readonly share: LimitShare;
  readonly peerView: PeerView;
  readonly queuePolicy: QueuePolicy;
  readonly placementPolicy: PlacementPolicy;
  /** How long answers are kept for resubmissions. */
  readonly answerRetentionMs: number;
  /** Upper bound of the memory for kept answers; each character counts as one byte. */
  readonly maxAnswerBytes: number;
}
