import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';

/** Weight of the newest observation in a learned mean. */
const LEARNING_RATE = 0.1;
/** Factor by which one observation moves the median of its own description. */
const MEDIAN_STEP_FACTOR = 1.1;
/** Factor by which one observation moves the typical run time over all tasks. */
const TYPICAL_STEP_FACTOR = 1.02;
const INITIAL_ESTIMATE_MS = 200;
/** A task is long when it is expected to run this many times the typical run time. */
const LONG_FACTOR = 4;
const MIN_LONG_MS = 100;
const UNDECLARED_BUCKET = -1;

/** Rounds a declared run time to a power of two, so that similar declarations learn together. */
function computeBucket(expectedMs: number | undefined): number {
  if (expectedMs === undefined || expectedMs <= 0) {
    return UNDECLARED_BUCKET;
  }
  return Math.max(0, Math.round(Math.log2(expectedMs)));
}

/** What is known of tasks with the same description. */
interface LearnedRunTime {
  readonly meanMs: number;
  readonly medianMs: number;
}

/** Moves an estimated median one step towards an observation. */
function moveMedian(medianMs: number, ranMs: number, stepFactor: number): number {
  return ranMs > medianMs ? medianMs * stepFactor : Math.max(1, medianMs / stepFactor);
}

/** Learns run times per caller, kind and declared size from what tasks really took. */
export class RunTimeEstimator {
  private readonly learned = new Map<string, LearnedRunTime>();

  private typicalMs = INITIAL_ESTIMATE_MS;

  /** Estimates a task's run time in milliseconds. */
  estimateMs(caller: CallerName, kind: KindName, expectedMs: number | undefined): number {
    const learned = this.learned.get(RunTimeEstimator.buildKey(caller, kind, expectedMs));
    return learned?.meanMs ?? expectedMs ?? INITIAL_ESTIMATE_MS;
  }

  /**
   * Tells whether a task is expected to hold a slot for long. The median decides: a few long tasks
   * among many short ones of the same description must not make all of them count as long.
   */
  isLong(caller: CallerName, kind: KindName, expectedMs: number | undefined): boolean {
    const learned = this.learned.get(RunTimeEstimator.buildKey(caller, kind, expectedMs));
    const medianMs = learned?.medianMs ?? expectedMs ?? INITIAL_ESTIMATE_MS;
    return medianMs >= this.computeLongThresholdMs();
  }

  /** Records how long a task ran. */
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

  /** The run time in milliseconds from which a task counts as long. */
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
