/** Lowest weight of the newest value in a moving mean. */
const MIN_NEWEST_WEIGHT = 0.05;
/** Number of runs that the estimate from other kinds and from `remoteFactor` weighs as much as. */
const PRIOR_RUNS = 4;
/** Estimate for a step that has neither a declared run time nor a completed run. */
const DEFAULT_RUN_MS = 200;

/** A moving mean of logarithms and the number of values in it. */
interface LogMean {
  count: number;
  mean: number;
}

/** Adds a value to a moving mean; the first values have equal weights. */
function recordValue(means: Map<string, LogMean>, key: string, value: number): void {
  const known = means.get(key);
  if (known === undefined) {
    means.set(key, { count: 1, mean: value });
    return;
  }
  known.count += 1;
  known.mean += (value - known.mean) * Math.max(MIN_NEWEST_WEIGHT, 1 / known.count);
}

/** Names the runs of a step on one kind of server, near the data or remote. */
function buildKey(stepKey: string, kind: string, isRemote: boolean): string {
  return `${stepKey}/${isRemote ? 'remote' : 'near'}/${kind}`;
}

/**
 * Learns the typical run time of a task by queue, step, kind of server, and near the data or remote.
 * Means of logarithms give the few tasks that run several times as long little weight. Until a place
 * has runs of its own, its estimate comes from the other kinds of server, the speed of the kind in
 * other steps, and `remoteFactor`.
 */
export class PlaceRunTimeEstimator {
  private readonly byPlace = new Map<string, LogMean>();

  /** By queue and step, converted to a server of mean speed near the data. */
  private readonly bySteps = new Map<string, LogMean>();

  /** Run time on a kind of server relative to the mean of its step, over all steps. */
  private readonly byKind = new Map<string, LogMean>();

  private readonly remoteLog: number;

  /**
   * @param remoteFactor - run time outside the preferred rack relative to that inside, as the
   *   deployment's settings have it
   */
  constructor(remoteFactor: number) {
    this.remoteLog = Math.log(remoteFactor);
  }

  /** Records the duration of a completed run, in milliseconds. */
  recordRun(
    queue: string,
    step: number,
    kind: string,
    isRemote: boolean,
    durationMs: number,
  ): void {
    const stepKey = `${queue}/${step}`;
    const value = Math.log(Math.max(1, durationMs));
    recordValue(this.byPlace, buildKey(stepKey, kind, isRemote), value);
    const nearValue = value - (isRemote ? this.remoteLog : 0);
    const stepMean = this.bySteps.get(stepKey);
    if (stepMean !== undefined) {
      recordValue(this.byKind, kind, nearValue - stepMean.mean);
    }
    recordValue(this.bySteps, stepKey, nearValue - (this.byKind.get(kind)?.mean ?? 0));
  }

  /** Returns whether any run of a step has completed; until then the declared run time counts. */
  hasRuns(queue: string, step: number): boolean {
    return this.bySteps.has(`${queue}/${step}`);
  }

  /** Estimates the run time of a task on a kind of server, in milliseconds. */
  estimateRunMs(
    queue: string,
    step: number,
    kind: string,
    isRemote: boolean,
    declaredMs: number,
  ): number {
    const stepKey = `${queue}/${step}`;
    const stepLog =
      this.bySteps.get(stepKey)?.mean ?? Math.log(declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS);
    const known = this.byPlace.get(buildKey(stepKey, kind, isRemote));
    const opposite = this.byPlace.get(buildKey(stepKey, kind, !isRemote));
    const oppositeCount = Math.min(opposite?.count ?? 0, PRIOR_RUNS);
    const kindLog = stepLog + (this.byKind.get(kind)?.mean ?? 0) + (isRemote ? this.remoteLog : 0);
    const oppositeLog = (opposite?.mean ?? 0) + (isRemote ? this.remoteLog : -this.remoteLog);
    const priorLog =
      (kindLog * PRIOR_RUNS + oppositeLog * oppositeCount) / (PRIOR_RUNS + oppositeCount);
    const count = known?.count ?? 0;
    return Math.exp((priorLog * PRIOR_RUNS + (known?.mean ?? 0) * count) / (PRIOR_RUNS + count));
  }
}
