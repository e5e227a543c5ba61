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
/** Starts that long ago count 1/e of new ones in the rate. */
const START_RATE_TIME_CONSTANT_MS = 300;

/** One caller's tasks of one kind: the unit of weights and limits. */
export class Flow {
  weight = 1;

  /** What the row allows in the whole failure domain. */
  limit: LimitAmount = { running: 0, perSecond: 0 };

  /** A backend server may hold a task of this flow for so long, in milliseconds. */
  maxLeaseMs = 0;

  /** This dispatcher's part of the limit. */
  readonly allocation = new LimitAllocation();

  /** Attempts of this flow that hold a slot. */
  running = 0;

  /** Tasks waiting for a start. */
  waiting = 0;

  /** Tasks that may wait at once. */
  maxWaiting = 0;

  /** Estimated run time of the waiting tasks, in milliseconds. */
  waitingWorkMs = 0;

  /** Service received so far, in weighted milliseconds. */
  virtualTime = 0;

  readonly bucket = new TokenBucket(0);

  private readonly startRate = new MovingAverageRate(START_RATE_TIME_CONSTANT_MS);

  private readonly shortJobs = new MinHeap<Job>((job) => job.orderKey);

  private readonly longJobs = new MinHeap<Job>((job) => job.orderKey);

  constructor(
    readonly caller: CallerName,
    readonly kind: KindName,
  ) {}

  /** Tells whether the limits allow another start now. */
  canStart(nowMs: number): boolean {
    if (this.waiting === 0) {
      return false;
    }
    const { running } = this.applyLimits(nowMs);
    return this.running < running && this.bucket.hasToken(nowMs);
  }

  /** Brings the rate up to date with the part held now, and returns that part. */
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

  /** Computes how many starts a second there were lately. */
  computeStartRate(nowMs: number): number {
    return this.startRate.computeRate(nowMs) * MS_PER_SECOND;
  }

  /** Adds a job to the heaps of the classes in which it has waiting tasks. */
  pushJob(job: Job): void {
    if (job.waitingShort.length > 0) {
      this.shortJobs.pushItem(job);
    }
    if (job.waitingLong.length > 0) {
      this.longJobs.pushItem(job);
    }
  }

  /** The first job with a waiting task of the class; jobs that ended are dropped on the way. */
  peekJob(runClass: RunClass): Job | undefined {
    const heap = runClass === 'short' ? this.shortJobs : this.longJobs;
    for (;;) {
      const job = heap.peekItem();
      if (job === undefined) {
        return undefined;
      }
      const waiting = runClass === 'short' ? job.waitingShort : job.waitingLong;
      if (job.result === undefined && waiting.length > 0) {
        return job;
      }
      heap.popItem();
    }
  }
}
