const US_PER_MS = 1_000;

/** Measures how late timers fire in this process and how much processor time it uses. */
export class ProcessLoadMeter {
  private maxLagMs = 0;

  private latestLagMs = 0;

  private lastTickMs: number | undefined;

  private lastTakenMs: number;

  private lastProcessorMs: number;

  constructor(nowMs: number) {
    this.lastTakenMs = nowMs;
    this.lastProcessorMs = ProcessLoadMeter.readProcessorMs();
  }

  /** Delay of the timer when it last fired, in milliseconds. */
  get recentLagMs(): number {
    return this.latestLagMs;
  }

  /** Records that the timer has fired, which was due `intervalMs` after the time before. */
  recordTick(nowMs: number, intervalMs: number): void {
    if (this.lastTickMs !== undefined) {
      this.latestLagMs = Math.max(0, nowMs - this.lastTickMs - intervalMs);
      this.maxLagMs = Math.max(this.maxLagMs, this.latestLagMs);
    }
    this.lastTickMs = nowMs;
  }

  /** Returns the figures since the last call: milliseconds, and a share of one core. */
  takeLoad(nowMs: number): { readonly loopLagMs: number; readonly processorShare: number } {
    const processorMs = ProcessLoadMeter.readProcessorMs();
    const elapsedMs = Math.max(1, nowMs - this.lastTakenMs);
    const load = {
      loopLagMs: Math.round(this.maxLagMs),
      processorShare: (processorMs - this.lastProcessorMs) / elapsedMs,
    };
    this.maxLagMs = 0;
    this.lastTakenMs = nowMs;
    this.lastProcessorMs = processorMs;
    return load;
  }

  private static readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_MS;
  }
}
