/** Weight of the newest run time in a moving mean. */
const NEWEST_WEIGHT = 0.05;
/** Until so many runs are known, the newest counts as a plain mean would have it. */
const FIRST_RUNS = 20;
/** Used where neither the caller nor experience tells, in milliseconds. */
const DEFAULT_RUN_MS = 200;

interface RunTimes {
  count: number;
  meanMs: number;
}

/** Learns how long tasks run, by queue and step. Declared times are only the first guess. */
export class RunTimeBook {
  private readonly times = new Map<string, RunTimes>();

  /** Takes in a run that ended done. */
  recordRun(queue: string, step: number, durationMs: number): void {
    const key = `${queue}/${step}`;
    const known = this.times.get(key);
    if (known === undefined) {
      this.times.set(key, { count: 1, meanMs: durationMs });
      return;
    }
    known.count += 1;
    const weight = Math.max(NEWEST_WEIGHT, known.count <= FIRST_RUNS ? 1 / known.count : 0);
    known.meanMs += (durationMs - known.meanMs) * weight;
  }

  /** The expected run time of a task, in milliseconds. */
  estimateRunMs(queue: string, step: number, declaredMs: number): number {
    const known = this.times.get(`${queue}/${step}`);
    if (known !== undefined) {
      return known.meanMs;
    }
    return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
  }
}
