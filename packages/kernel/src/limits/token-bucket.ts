const MS_PER_SECOND = 1000;
/** Capacity of a bucket in seconds of its rate; it is at least one token unless the rate is 0. */
const BURST_SECONDS = 0.1;

/** Limits a rate with a token bucket, whose tokens are refilled continuously. */
export class TokenBucket {
  private tokens = 0;

  private refilledAtMs: number | undefined;

  constructor(private perSecond: number) {}

  /** Changes the rate: refills at the old rate until now, then caps the tokens at the new burst size. */
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

  /** Tells whether a token is available now. */
  hasToken(nowMs: number): boolean {
    this.refillTokens(nowMs);
    return this.tokens >= 1;
  }

  /** Takes one token; returns false if none is available. */
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
      // The first start is allowed immediately; the rest of the burst accumulates after a restart.
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
