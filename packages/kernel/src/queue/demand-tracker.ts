/** Tracks work for each unit of time: an exponentially weighted mean over recent time. */
export class DemandTracker {
  private slots = 0;

  private atMs = 0;

  /**
   * Creates a tracker that has seen no work.
   *
   * @param timeConstantMs - work that arrived this long ago counts 1/e of new work
   */
  constructor(private readonly timeConstantMs: number) {}

  /** Records work, such as milliseconds of slot time. */
  recordWork(workMs: number, nowMs: number): void {
    this.slots = this.computeSlots(nowMs) + workMs / this.timeConstantMs;
    this.atMs = nowMs;
  }

  /** Computes the recent work for each millisecond; for slot time, how many slots it keeps busy. */
  computeSlots(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    return this.slots * Math.exp(-elapsedMs / this.timeConstantMs);
  }
}
