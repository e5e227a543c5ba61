/** Time constant: work that arrived this long ago counts with a weight of 1/e. */
const WINDOW_MS = 500;

/** A moving average of the rate at which work arrives, in thousandths of a core. */
export class WorkRate {
  private rateMilli = 0;

  private updatedAtMs = 0;

  /** Adds work, in thousandths of a core times milliseconds; a negative amount takes some back. */
  addWork(work: number, nowMs: number): void {
    this.rateMilli = this.computeRateMilli(nowMs) + work / WINDOW_MS;
    this.updatedAtMs = nowMs;
  }

  /** Computes the rate, in thousandths of a core. */
  computeRateMilli(nowMs: number): number {
    return Math.max(0, this.rateMilli * Math.exp((this.updatedAtMs - nowMs) / WINDOW_MS));
  }
}
