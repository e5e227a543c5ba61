/** Weight of the newest run time in a moving mean. */
const NEWEST_WEIGHT = 0.05;
/** Until so many runs are known, the newest counts as a plain mean would have it. */
const FIRST_RUNS = 20;
/** Used where neither the caller nor experience tells, in milliseconds. */
const DEFAULT_RUN_MS = 200;

/** A moving mean of durations. */
interface RunTimes {
  count: number;
  meanMs: number;
}

/** Moves a mean towards a new value; the first values count alike. */
function recordValue(times: Map<string, RunTimes>, key: string, value: number): void {
  const known = times.get(key);
  if (known === undefined) {
    times.set(key, { count: 1, meanMs: value });
    return;
  }
  known.count += 1;
  const weight = Math.max(NEWEST_WEIGHT, known.count <= FIRST_RUNS ? 1 / known.count : 0);
  known.meanMs += (value - known.meanMs) * weight;
}

/** Learns how long tasks run, by queue and step. Declared times are only the first guess. */
export class RunTimeBook {
  private readonly times = new Map<string, RunTimes>();

  /** Logarithms of the longest run of a step, so that a few very long ones weigh little. */
  private readonly longestLogs = new Map<string, RunTimes>();

  /** Takes in a run that ended done. */
  recordRun(queue: string, step: number, durationMs: number): void {
    recordValue(this.times, `${queue}/${step}`, durationMs);
  }

  /** Takes in the longest run of a job's step. */
  recordLongest(queue: string, step: number, durationMs: number): void {
    recordValue(this.longestLogs, `${queue}/${step}`, Math.log(Math.max(1, durationMs)));
  }

  /** The expected run time of a task, in milliseconds. */
  estimateRunMs(queue: string, step: number, declaredMs: number): number {
    const known = this.times.get(`${queue}/${step}`);
    if (known !== undefined) {
      return known.meanMs;
    }
    return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
  }

  /**
   * The expected longest run of a job's step, in milliseconds: what the job's objective is measured
   * by. At least the run time of one task.
   */
  estimateLongestMs(queue: string, step: number, declaredMs: number): number {
    const runMs = this.estimateRunMs(queue, step, declaredMs);
    const known = this.longestLogs.get(`${queue}/${step}`);
    return known === undefined ? runMs : Math.max(runMs, Math.exp(known.meanMs));
  }
}
