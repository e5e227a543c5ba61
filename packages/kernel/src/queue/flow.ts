import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';
import { TokenBucket } from '../limits/token-bucket';
import type { Job } from '../submission/job';
import { MinHeap } from './min-heap';
import type { RunClass } from './run-class';

/** One caller's tasks of one kind: the unit of weights and limits. */
export class Flow {
  weight = 1;

  maxRunning = 0;

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

  private readonly shortJobs = new MinHeap<Job>((job) => job.orderKey);

  private readonly longJobs = new MinHeap<Job>((job) => job.orderKey);

  constructor(
    readonly caller: CallerName,
    readonly kind: KindName,
  ) {}

  /** Tells whether the limits allow another start now. */
  canStart(nowMs: number): boolean {
    return this.waiting > 0 && this.running < this.maxRunning && this.bucket.hasToken(nowMs);
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
