/** Share of the capacity that returning callers are to ask for together. */
const RETURN_SHARE = 0.1;
/** Interval between two returns while no capacity is known. */
const BLIND_INTERVAL_MS = 20;
/** Longest delay that a caller is told; later estimates say little. */
const MAX_DELAY_MS = 8_000;

/**
 * Computes when refused callers are to come again. Callers take turns at a rate that leaves most of the
 * capacity to new jobs, so that those of one burst do not come back as the next.
 */
export class ReturnSchedule {
  /** When the next refused caller is to come, in monotonic milliseconds. */
  private nextReturnMs = 0;

  /**
   * Computes the delay that a refused caller is told, in milliseconds.
   *
   * @param work - CPU time of the job, in thousandths of a core times milliseconds
   * @param capacityMilli - CPU capacity of the service, in thousandths of a core
   * @param minDelayMs - earliest time at which the job may be accepted, from now
   */
  computeDelayMs(work: number, capacityMilli: number, minDelayMs: number, nowMs: number): number {
    const earliestMs = nowMs + Math.min(minDelayMs, MAX_DELAY_MS);
    const latestMs = nowMs + MAX_DELAY_MS;
    if (this.nextReturnMs < earliestMs) {
      this.nextReturnMs = earliestMs;
    } else if (this.nextReturnMs > latestMs) {
      // All turns are given out: begins again, between the earlier turns.
      const excessMs = this.nextReturnMs - latestMs;
      this.nextReturnMs = earliestMs + (excessMs % Math.max(1, latestMs - earliestMs));
    }
    const delayMs = this.nextReturnMs - nowMs;
    this.nextReturnMs +=
      capacityMilli > 0 ? work / (capacityMilli * RETURN_SHARE) : BLIND_INTERVAL_MS;
    return delayMs;
  }
}
