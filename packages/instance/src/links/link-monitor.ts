import { linkTiming } from './link-timing';

/**
 * The entry instance's view of a link: when to send the next ping, and whether the leader is silent. Only
 * an unanswered ping shows silence, so a link that nobody uses needs few messages.
 */
export class LinkMonitor {
  /** When the oldest unanswered ping was sent, in monotonic milliseconds. */
  private unansweredSinceMs: number | undefined;

  /** @param silenceTimeoutMs - the leader is silent after this time without an answer to a ping */
  constructor(private readonly silenceTimeoutMs: number) {}

  /** Whether a ping is unanswered. */
  get isWaiting(): boolean {
    return this.unansweredSinceMs !== undefined;
  }

  /** Records that a message from the leader has arrived. */
  recordMessage(): void {
    this.unansweredSinceMs = undefined;
  }

  /** Records that a ping has been sent. */
  recordPing(nowMs: number): void {
    this.unansweredSinceMs ??= nowMs;
  }

  /** Returns whether the leader has left a ping unanswered for too long. */
  isSilent(nowMs: number): boolean {
    return this.computeWaitMs(nowMs) > this.silenceTimeoutMs;
  }

  /** Returns whether the leader has answered lately, as far as it has been asked. */
  hasHeard(nowMs: number): boolean {
    return this.computeWaitMs(nowMs) <= linkTiming.heardTimeoutMs;
  }

  /**
   * Computes the time until the next ping or check, in milliseconds.
   *
   * @param isIdle - whether nobody at this instance waits for the leader
   */
  computePauseMs(nowMs: number, isIdle: boolean): number {
    const intervalMs = isIdle ? linkTiming.idlePingIntervalMs : linkTiming.pingIntervalMs;
    if (!this.isWaiting) {
      return intervalMs;
    }
    const untilSilentMs = this.silenceTimeoutMs - this.computeWaitMs(nowMs) + 1;
    return Math.max(1, Math.min(intervalMs, untilSilentMs));
  }

  private computeWaitMs(nowMs: number): number {
    return nowMs - (this.unansweredSinceMs ?? nowMs);
  }
}
