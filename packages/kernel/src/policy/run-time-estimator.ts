import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';

/** Weight of the newest observation in a learned mean. */
const LEARNING_RATE = 0.1;
/** Factor by which one observation moves the typical run time. */
const TYPICAL_STEP = 1.02;
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

/** Learns run times per caller, kind and declared size from what tasks really took. */
export class RunTimeEstimator {
  private readonly means = new Map<string, number>();

  private typicalMs = INITIAL_ESTIMATE_MS;

  /** Estimates a task's run time in milliseconds. */
  estimateMs(caller: CallerName, kind: KindName, expectedMs: number | undefined): number {
    const learned = this.means.get(RunTimeEstimator.buildKey(caller, kind, expectedMs));
    return learned ?? expectedMs ?? INITIAL_ESTIMATE_MS;
  }

  /** Records how long a task ran. */
  recordRun(
    caller: CallerName,
    kind: KindName,
    expectedMs: number | undefined,
    ranMs: number,
  ): void {
    const key = RunTimeEstimator.buildKey(caller, kind, expectedMs);
    const mean = this.means.get(key) ?? ranMs;
    this.means.set(key, mean + LEARNING_RATE * (ranMs - mean));
    this.typicalMs *= ranMs > this.typicalMs ? TYPICAL_STEP : 1 / TYPICAL_STEP;
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
