import type { Clock } from '@guavaspindle/kernel/time/clock';

const INTERVAL_MS = 100;
/** Delays count for this long. */
const WINDOW_MS = 5_000;

/** Follows the turns of the event loop, and how late they are. */
export class LoopMonitor {
  private turnedAtMs: number;

  private readonly lags: { readonly atMs: number; readonly lagMs: number }[] = [];

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock) {
    this.turnedAtMs = clock.now();
    this.timer = setInterval(() => this.recordTurn(), INTERVAL_MS);
    this.timer.unref();
  }

  /**
   * The delay of the latest turn, in milliseconds: what is handled now may have waited for so long. Timers run before
   * signals in a turn of the event loop, so the latest turn may be the present one.
   */
  get latestLagMs(): number {
    return Math.max(0, this.computeOverdueMs(), this.lags.at(-1)?.lagMs ?? 0);
  }

  /** Finds the longest delay of late, in milliseconds. */
  findMaxLagMs(): number {
    const nowMs = this.clock.now();
    const recent = this.lags.filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
    return Math.max(0, this.computeOverdueMs(), ...recent.map(({ lagMs }) => lagMs));
  }

  /** Follows the event loop no more. */
  close(): void {
    clearInterval(this.timer);
  }

  /** Computes by how much the next turn is late. */
  private computeOverdueMs(): number {
    return this.clock.now() - this.turnedAtMs - INTERVAL_MS;
  }

  private recordTurn(): void {
    const nowMs = this.clock.now();
    this.lags.push({ atMs: nowMs, lagMs: this.computeOverdueMs() });
    while (nowMs - this.lags[0]!.atMs >= WINDOW_MS) {
      this.lags.shift();
    }
    this.turnedAtMs = nowMs;
  }
}
