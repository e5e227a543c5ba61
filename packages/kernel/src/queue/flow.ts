import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';
import type { LimitAmount } from '../limits/limit-amount';
import { LimitAllocation } from '../limits/limit-allocation';
import { TokenBucket } from '../limits/token-bucket';
import type { Job } from '../submission/job';
import { MovingAverageRate } from './moving-average-rate';
import { MinHeap } from './min-heap';
import type { RunClass } from './run-class';

const MS_PER_SECOND = 1_000;
/** Age at which a start has 1/e of the weight of a new one in the start rate. */
const START_RATE_TIME_CONSTANT_MS = 300;

/** The tasks of one caller and kind. Weights and limits apply per flow. */
export class Flow {
  weight = 1;

  /** The limits that the table's row sets for the whole failure domain. */
  limit: LimitAmount = { running: 0, perSecond: 0 };

  /** Longest time for which a backend server may hold a task of this flow. */
  maxLeaseMs = 0;

  /** This dispatcher's part of the limits. */
  readonly allocation = new LimitAllocation();

  /** Number of attempts that occupy a slot. */
  running = 0;

  /** Number of tasks that wait to be started. */
  waiting = 0;

  /** Upper bound of `waiting` on this dispatcher. */
  maxWaiting = 0;

  /** Sum of the estimated run times of the waiting tasks. */
  waitingWorkMs = 0;

  /** Slot time received so far divided by the weight, in milliseconds; see `FairQueue`. */
  virtualTime = 0;

  /** Limits the rate of starts. */
  readonly bucket = new TokenBucket(0);

  private readonly startRate = new MovingAverageRate(START_RATE_TIME_CONSTANT_MS);

  private readonly shortJobs = new MinHeap<Job>((job) => job.orderKey);

  private readonly longJobs = new MinHeap<Job>((job) => job.orderKey);

  constructor(
    readonly caller: CallerName,
    readonly kind: KindName,
  ) {}

  /** Tells whether a task waits and the limits allow its start now. */
  canStart(nowMs: number): boolean {
    if (this.waiting === 0) {
      return false;
    }
    const { running } = this.applyLimits(nowMs);
    return this.running < running && this.bucket.hasToken(nowMs);
  }

  /** Computes the limits usable now, applies their rate to the bucket, and returns them. */
  applyLimits(nowMs: number): LimitAmount {
    const usable = this.allocation.computeUsable(nowMs);
    this.bucket.setRate(usable.perSecond, nowMs);
    return usable;
  }

  /** Counts a start against the limits. */
  recordStart(nowMs: number): void {
    this.running += 1;
    this.bucket.takeToken(nowMs);
    this.startRate.recordWork(1, nowMs);
  }

  /** Computes the recent rate of starts, per second. */
  computeStartRate(nowMs: number): number {
    return this.startRate.computeRate(nowMs) * MS_PER_SECOND;
  }

  /** Adds a job to the heap of each class in which it has waiting tasks. */
  pushJob(job: Job): void {
    if (job.waitingShortIndices.length > 0) {
      this.shortJobs.pushItem(job);
    }
    if (job.waitingLongIndices.length > 0) {
      this.longJobs.pushItem(job);
    }
  }

  /**
   * Returns the first job with a waiting task of the class. Removes the jobs before it that have
   * ended or have no such task left.
   */
  peekJob(runClass: RunClass): Job | undefined {
    const heap = runClass === 'short' ? this.shortJobs : this.longJobs;
    for (;;) {
      const job = heap.peekItem();
      if (job === undefined) {
        return undefined;
      }
      const waiting = runClass === 'short' ? job.waitingShortIndices : job.waitingLongIndices;
      if (job.result === undefined && waiting.length > 0) {
        return job;
      }
      heap.popItem();
    }
  }
}
