/** Tracks work for each unit of time: an exponentially weighted mean over recent time. */
export class MovingAverageRate {
  private rate = 0;

  private updatedAtMs = 0;

  /**
   * Creates a tracker that has seen no work.
   *
   * @param timeConstantMs - work that arrived this long ago counts 1/e of new work
   */
  constructor(private readonly timeConstantMs: number) {}

  /** Records work, such as milliseconds of slot time. */
  recordWork(workMs: number, nowMs: number): void {
    this.rate = this.computeRate(nowMs) + workMs / this.timeConstantMs;
    this.updatedAtMs = nowMs;
  }

  /** Computes the recent work for each millisecond; for slot time, how many slots it keeps busy. */
  computeRate(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.rate * Math.exp(-elapsedMs / this.timeConstantMs);
  }
}
