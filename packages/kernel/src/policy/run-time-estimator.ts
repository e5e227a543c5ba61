import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';

/** Weight of the newest observation in a learned mean. */
const LEARNING_RATE = 0.1;
/** Factor by which one observation moves the median of tasks with the same description. */
const MEDIAN_STEP_FACTOR = 1.1;
/** Factor by which one observation moves the typical run time of all tasks. */
const TYPICAL_STEP_FACTOR = 1.02;
const INITIAL_ESTIMATE_MS = 200;
/** A task is long if it is expected to run at least this many times the typical run time. */
const LONG_FACTOR = 4;
const MIN_LONG_MS = 100;
const UNDECLARED_BUCKET = -1;

/**
 * Returns the exponent of the nearest power of two: similar declared run times share one estimate.
 */
function computeBucket(expectedMs: number | undefined): number {
  if (expectedMs === undefined || expectedMs <= 0) {
    return UNDECLARED_BUCKET;
  }
  return Math.max(0, Math.round(Math.log2(expectedMs)));
}

/** Run times learned from tasks with the same caller, kind and bucket of declared run times. */
interface LearnedRunTime {
  readonly meanMs: number;
  readonly medianMs: number;
}

/** Moves an estimated median one step towards an observation. */
function moveMedian(medianMs: number, ranMs: number, stepFactor: number): number {
  return ranMs > medianMs ? medianMs * stepFactor : Math.max(1, medianMs / stepFactor);
}

/** Learns run times per caller, kind and declared run time from observed runs. */
export class RunTimeEstimator {
  private readonly learned = new Map<string, LearnedRunTime>();

  private typicalMs = INITIAL_ESTIMATE_MS;

  /** Estimates a task's run time in milliseconds. */
  estimateMs(caller: CallerName, kind: KindName, expectedMs: number | undefined): number {
    const learned = this.learned.get(RunTimeEstimator.buildKey(caller, kind, expectedMs));
    return learned?.meanMs ?? expectedMs ?? INITIAL_ESTIMATE_MS;
  }

  /**
   * Returns whether a task is expected to hold a slot for long. Uses the median, so that a few long
   * tasks among many short ones of the same description do not make all of them count as long.
   */
  isLong(caller: CallerName, kind: KindName, expectedMs: number | undefined): boolean {
    const learned = this.learned.get(RunTimeEstimator.buildKey(caller, kind, expectedMs));
    const medianMs = learned?.medianMs ?? expectedMs ?? INITIAL_ESTIMATE_MS;
    return medianMs >= this.computeLongThresholdMs();
  }

  /** Records the run time of a task, in milliseconds. */
  recordRun(
    caller: CallerName,
    kind: KindName,
    expectedMs: number | undefined,
    ranMs: number,
  ): void {
    const key = RunTimeEstimator.buildKey(caller, kind, expectedMs);
    const { meanMs, medianMs } = this.learned.get(key) ?? { meanMs: ranMs, medianMs: ranMs };
    this.learned.set(key, {
      meanMs: meanMs + LEARNING_RATE * (ranMs - meanMs),
      medianMs: moveMedian(medianMs, ranMs, MEDIAN_STEP_FACTOR),
    });
    this.typicalMs = moveMedian(this.typicalMs, ranMs, TYPICAL_STEP_FACTOR);
  }

  /** Computes the run time from which a task counts as long, in milliseconds. */
  computeLongThresholdMs(): number {
    return Math.max(MIN_LONG_MS, this.typicalMs * LONG_FACTOR);
  }

  private static buildKey(
    caller: CallerName,
    kind: KindName,
    expectedMs: number | undefined,
  ): string {
    return `${caller}\n${kind}\n${computeBucket(expectedMs)}`;
  }
}
