/**
 * Runs that the window holds. The median of seven ignores three long tasks among them: with 3% long
 * tasks, four of seven are long once in 30,000 times.
 */
const WINDOW_RUNS = 7;
/** Runs before the window says anything. */
const MIN_RUNS = 4;
/**
 * Medians up to this value count as 1. With run times of a logarithmic deviation of 0.4 the median of
 * seven deviates by 0.19, so that an ordinary server exceeds it once in 200 times.
 */
const ORDINARY_RATIO = 1.65;
/**
 * Ratios count for this long after the last run. A slow server gets few tasks, and without this it would
 * count as slow for good, also once it is warm or its cause is gone.
 */
const RETENTION_MS = 5_000;

/** Tells a slow server from long tasks by the median ratio of actual to expected run times. */
export class RunRatioWindow {
  private ratios: number[] = [];

  private currentSlowness = 1;

  private recordedAtMs = -Infinity;

  /** Computes how many times as long runs take here; 1 unless the server is clearly slow. */
  computeSlowness(nowMs: number): number {
    return nowMs - this.recordedAtMs <= RETENTION_MS ? this.currentSlowness : 1;
  }

  /** Records the duration of a completed run divided by the expected one. */
  recordRatio(ratio: number, nowMs: number): void {
    if (nowMs - this.recordedAtMs > RETENTION_MS) {
      this.ratios = [];
    }
    this.recordedAtMs = nowMs;
    this.ratios.push(ratio);
    if (this.ratios.length > WINDOW_RUNS) {
      this.ratios.shift();
    }
    this.currentSlowness = this.computeMedianSlowness();
  }

  /** Forgets all runs. */
  clear(): void {
    this.ratios = [];
    this.currentSlowness = 1;
  }

  private computeMedianSlowness(): number {
    if (this.ratios.length < MIN_RUNS) {
      return 1;
    }
    const sorted = [...this.ratios].sort((a, b) => a - b);
    const median = sorted[Math.floor((sorted.length - 1) / 2)]!;
    return median > ORDINARY_RATIO ? median : 1;
  }
}
