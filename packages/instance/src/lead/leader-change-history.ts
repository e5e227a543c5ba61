import { linkTiming } from '../links/link-timing';

/** Changes of leader that happened longer ago than this no longer count, in milliseconds. */
const WINDOW_MS = 5_000;
const MAX_DOUBLINGS = 2;

/**
 * Remembers recent changes of the leader. A new leader has much to do before it answers, and replacing
 * it for its silence starts the same work again on another instance, so each further change within the
 * window doubles the silence that is tolerated.
 */
export class LeaderChangeHistory {
  private readonly changesAtMs: number[] = [];

  private revision = 0;

  /** Records the revision of the latest known claim. */
  recordClaim(revision: number, nowMs: number): void {
    if (revision !== this.revision) {
      this.revision = revision;
      this.changesAtMs.push(nowMs);
    }
  }

  /** Returns whether the leader has had time to answer since its claim. */
  hasHadTimeToAnswer(nowMs: number): boolean {
    const latestAtMs = this.changesAtMs.at(-1);
    return latestAtMs === undefined || nowMs - latestAtMs >= this.computeSilenceTimeoutMs(nowMs);
  }

  /** Computes how long the leader may be silent before it counts as lost, in milliseconds. */
  computeSilenceTimeoutMs(nowMs: number): number {
    while (this.changesAtMs.length > 0 && nowMs - this.changesAtMs[0]! >= WINDOW_MS) {
      this.changesAtMs.shift();
    }
    const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, this.changesAtMs.length - 1));
    return linkTiming.silenceTimeoutMs * 2 ** doublings;
  }
}
