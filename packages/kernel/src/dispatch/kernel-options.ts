import type { DomainName } from '../ids/domain-name';
import type { LimitShare } from '../limits/limit-share';
import type { PlacementPolicy } from '../placement/placement-policy';
import type { PeerView } from '../placement/peer-view';
import type { QueuePolicy } from '../queue/queue-policy';

/** What a dispatch kernel is built from. */
export interface KernelOptions {
  readonly domain: DomainName;
  readonly share: LimitShare;
  readonly fleet: PeerView;
  readonly queuePolicy: QueuePolicy;
  readonly placementPolicy: PlacementPolicy;
  /** How long answers are kept for resubmissions, in milliseconds. */
  readonly answerRetentionMs: number;
  /** Answers kept for resubmissions hold at most this many characters. */
  readonly maxAnswerBytes: number;
}
