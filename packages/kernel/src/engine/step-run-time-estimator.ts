/** Lowest weight of the newest value in a moving mean. */
const MIN_NEWEST_WEIGHT = 0.05;
/** Number of values up to which the mean is a plain mean. */
const PLAIN_MEAN_RUNS = 20;
/** Estimate for a step that has neither a declared run time nor a completed run. */
const DEFAULT_RUN_MS = 200;

/** A moving mean and the number of values in it. */
interface MovingMean {
  count: number;
  mean: number;
}

/** Adds a value to a moving mean; the first `PLAIN_MEAN_RUNS` values have equal weights. */
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

/** Learns run times per queue and step. A declared time is used only until a run has completed. */
export class StepRunTimeEstimator {
  private readonly runTimes = new Map<string, MovingMean>();

  /** Means of the logarithm of the longest run of a step, which gives outliers little weight. */
  private readonly longestRunLogs = new Map<string, MovingMean>();

  private readonly revisions = new Map<string, number>();

  /** Returns a number that changes with every change of a queue's estimates. */
  getRevision(queue: string): number {
    return this.revisions.get(queue) ?? 0;
  }

  /** Records the duration of a completed run, in milliseconds. */
  recordRun(queue: string, step: number, durationMs: number): void {
    this.revisions.set(queue, this.getRevision(queue) + 1);
    recordValue(this.runTimes, `${queue}/${step}`, durationMs);
  }

  /** Records the duration of the longest run of a job's step, in milliseconds. */
  recordLongestRun(queue: string, step: number, durationMs: number): void {
    this.revisions.set(queue, this.getRevision(queue) + 1);
    recordValue(this.longestRunLogs, `${queue}/${step}`, Math.log(Math.max(1, durationMs)));
  }

  /** Estimates the run time of a task, in milliseconds. */
  estimateRunMs(queue: string, step: number, declaredMs: number): number {
    const known = this.runTimes.get(`${queue}/${step}`);
    if (known !== undefined) {
      return known.mean;
    }
    return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
  }

  /**
   * Estimates the longest run of a job's step, in milliseconds, from which the job's objective is
   * computed. At least the estimated run time of one task.
   */
  estimateLongestRunMs(queue: string, step: number, declaredMs: number): number {
    const runMs = this.estimateRunMs(queue, step, declaredMs);
    const known = this.longestRunLogs.get(`${queue}/${step}`);
    return known === undefined ? runMs : Math.max(runMs, Math.exp(known.mean));
  }
}
