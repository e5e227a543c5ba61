import type { Job } from '../submission/job';
import { MovingAverageRate } from './moving-average-rate';

/** Short work that arrived this long ago counts 1/e of new work, in milliseconds. */
const SHORT_TIME_CONSTANT_MS = 5_000;
/** Long work comes in few large pieces, so its mean needs more of them. */
const LONG_TIME_CONSTANT_MS = 10_000;
/** Long work gets the slots that it needs on average and a little more, or it would never catch up. */
const LONG_HEADROOM_FACTOR = 1.1;
/** Short work keeps at least the slots that it needs on average and a little more. */
const SHORT_HEADROOM_FACTOR = 1.1;
/** Slots beyond this multiple of what short work needs on average are never kept for it. */
const SHORT_PEAK_FACTOR = 1.8;
/** Part of the slots that long work may always hold, so that short work cannot starve it. */
const MIN_LONG_FRACTION = 0.25;
/** Part of the slots that long work may never exceed, so that new short work finds some free. */
const MAX_LONG_FRACTION = 0.7;

/** Decides how many slots long tasks may hold, from what arrived lately of both classes. */
export class LongTaskCap {
  private readonly shortDemand = new MovingAverageRate(SHORT_TIME_CONSTANT_MS);

  private readonly longDemand = new MovingAverageRate(LONG_TIME_CONSTANT_MS);

  /** Records the work of an accepted job, all of whose tasks still wait. */
  recordJob(job: Job): void {
    const shortMs = job.waitingShort.reduce((sum, index) => sum + job.tasks[index]!.estimateMs, 0);
    this.shortDemand.recordWork(shortMs, job.acceptedAtMs);
    this.longDemand.recordWork(job.waitingWorkMs - shortMs, job.acceptedAtMs);
  }

  /** Computes how many of the slots long tasks may hold now; at least one. */
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
