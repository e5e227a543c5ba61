const MS_PER_SECOND = 1000;
/** A bucket holds this many seconds' worth of starts, and at least one start. */
const BURST_SECONDS = 0.1;

/** Bounds a rate: holds tokens that refill evenly with time. */
export class TokenBucket {
  private tokens = 0;

  private refilledAtMs: number | undefined;

  constructor(private perSecond: number) {}

  /** Changes the rate: earns tokens at the old rate until now, then cuts them to the new burst. */
  setRate(perSecond: number, nowMs: number): void {
    if (perSecond === this.perSecond) {
      return;
    }
    if (this.refilledAtMs !== undefined) {
      this.refillTokens(nowMs);
    }
    this.perSecond = perSecond;
    this.tokens = Math.min(this.tokens, this.computeBurst());
  }

  /** Tells whether a token could be taken now. */
  hasToken(nowMs: number): boolean {
    this.refillTokens(nowMs);
    return this.tokens >= 1;
  }

  /** Takes one token; false if there is none. */
  takeToken(nowMs: number): boolean {
    if (!this.hasToken(nowMs)) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refillTokens(nowMs: number): void {
    const burst = this.computeBurst();
    if (this.refilledAtMs === undefined) {
      this.refilledAtMs = nowMs;
      // One start may go at once; the rest of the burst has to be earned after a restart.
      this.tokens = Math.min(1, burst);
      return;
    }
    const elapsedSeconds = Math.max(0, nowMs - this.refilledAtMs) / MS_PER_SECOND;
    this.tokens = Math.min(burst, this.tokens + elapsedSeconds * this.perSecond);
    this.refilledAtMs = nowMs;
  }

  private computeBurst(): number {
    return this.perSecond === 0 ? 0 : Math.max(1, this.perSecond * BURST_SECONDS);
  }
}
