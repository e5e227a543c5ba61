import type { Job } from '../submission/job';
import { MovingAverageRate } from './moving-average-rate';

/** Age at which short work has 1/e of the weight of new work in the average. */
const SHORT_TIME_CONSTANT_MS = 5_000;
/** The same for long work. It is longer because long tasks are few and large. */
const LONG_TIME_CONSTANT_MS = 10_000;
/** Long work gets this multiple of the slots that it needs on average, or it could not catch up. */
const LONG_HEADROOM_FACTOR = 1.1;
/** Short work keeps at least this multiple of the slots that it needs on average. */
const SHORT_HEADROOM_FACTOR = 1.1;
/** Short work keeps at most this multiple of the slots that it needs on average. */
const SHORT_PEAK_FACTOR = 1.8;
/** Fraction of the slots that long work may always use, so that short work cannot starve it. */
const MIN_LONG_FRACTION = 0.25;
/** Fraction of the slots that long work may never exceed, so that new short work finds free ones. */
const MAX_LONG_FRACTION = 0.7;

/** Limits the slots that long tasks may occupy, based on recent arrivals of both classes. */
export class LongTaskCap {
  private readonly shortDemand = new MovingAverageRate(SHORT_TIME_CONSTANT_MS);

  private readonly longDemand = new MovingAverageRate(LONG_TIME_CONSTANT_MS);

  /** Records the estimated work of an accepted job of which no task has started. */
  recordJob(job: Job): void {
    const shortMs = job.waitingShortIndices.reduce(
      (sum, index) => sum + job.tasks[index]!.estimateMs,
      0,
    );
    this.shortDemand.recordWork(shortMs, job.acceptedAtMs);
    this.longDemand.recordWork(job.waitingWorkMs - shortMs, job.acceptedAtMs);
  }

  /** Computes how many of the slots long tasks may occupy now; at least one. */
  computeMaxLongTasks(slots: number, nowMs: number): number {
    const shortSlots = this.shortDemand.computeRate(nowMs);
    const longSlots = this.longDemand.computeRate(nowMs);
    const needed = Math.min(
      longSlots * LONG_HEADROOM_FACTOR,
      slots - shortSlots * SHORT_HEADROOM_FACTOR,
    );
    const spare = slots - shortSlots * SHORT_PEAK_FACTOR;
    const wanted = Math.max(needed, spare, slots * MIN_LONG_FRACTION);
    return Math.max(1, Math.floor(Math.min(wanted, slots * MAX_LONG_FRACTION)));
  }
}
