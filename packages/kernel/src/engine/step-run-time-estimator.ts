/** Weight of the newest run time in a moving mean. */
const MIN_NEWEST_WEIGHT = 0.05;
/** Until so many runs are known, the newest counts as a plain mean would have it. */
const PLAIN_MEAN_RUNS = 20;
/** Used where neither the caller nor experience tells, in milliseconds. */
const DEFAULT_RUN_MS = 200;

/** A moving mean of durations. */
interface MovingMean {
  count: number;
  mean: number;
}

/** Moves a mean towards a new value; the first values count alike. */
function recordValue(means: Map<string, MovingMean>, key: string, value: number): void {
  const known = means.get(key);
  if (known === undefined) {
    means.set(key, { count: 1, mean: value });
    return;
  }
  known.count += 1;
  const weight = Math.max(MIN_NEWEST_WEIGHT, known.count <= PLAIN_MEAN_RUNS ? 1 / known.count : 0);
  known.mean += (value - known.mean) * weight;
}

/** Learns how long tasks run, by queue and step. Declared times are only the first guess. */
export class StepRunTimeEstimator {
  private readonly runTimes = new Map<string, MovingMean>();

  /** Logarithms of the longest run of a step, so that a few very long ones weigh little. */
  private readonly longestRunLogs = new Map<string, MovingMean>();

  /** Takes in a run that ended done. */
  recordRun(queue: string, step: number, durationMs: number): void {
    recordValue(this.runTimes, `${queue}/${step}`, durationMs);
  }

  /** Takes in the longest run of a job's step. */
  recordLongestRun(queue: string, step: number, durationMs: number): void {
    recordValue(this.longestRunLogs, `${queue}/${step}`, Math.log(Math.max(1, durationMs)));
  }

  /** The expected run time of a task, in milliseconds. */
  estimateRunMs(queue: string, step: number, declaredMs: number): number {
    const known = this.runTimes.get(`${queue}/${step}`);
    if (known !== undefined) {
      return known.mean;
    }
    return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
  }

  /**
   * The expected longest run of a job's step, in milliseconds: what the job's objective is measured
   * by. At least the run time of one task.
   */
  estimateLongestRunMs(queue: string, step: number, declaredMs: number): number {
    const runMs = this.estimateRunMs(queue, step, declaredMs);
    const known = this.longestRunLogs.get(`${queue}/${step}`);
    return known === undefined ? runMs : Math.max(runMs, Math.exp(known.mean));
  }
}
