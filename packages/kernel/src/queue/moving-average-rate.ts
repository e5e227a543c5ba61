/** Computes the recent rate of work as an exponentially weighted moving average over time. */
export class MovingAverageRate {
  private rate = 0;

  private updatedAtMs = 0;

  /**
   * Creates an average over no work.
   *
   * @param timeConstantMs - age at which work has 1/e of the weight of new work
   */
  constructor(private readonly timeConstantMs: number) {}

  /** Records an amount of work, such as milliseconds of slot time. */
  recordWork(workMs: number, nowMs: number): void {
    this.rate = this.computeRate(nowMs) + workMs / this.timeConstantMs;
    this.updatedAtMs = nowMs;
  }

  /** Computes the recent work per millisecond; for slot time, the number of slots kept busy. */
  computeRate(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.rate * Math.exp(-elapsedMs / this.timeConstantMs);
  }
}
