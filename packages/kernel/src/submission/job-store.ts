import type { JobId } from '../ids/job-id';
import type { Job } from './job';
import { NumberSet } from './number-set';

/** An ended job that is kept until it is evicted. */
interface EndedJob {
  readonly id: JobId;
  readonly endedAtMs: number;
  readonly bytes: number;
}

/** Memory that a kept job takes in addition to its answers, in bytes. */
const JOB_OVERHEAD_BYTES = 500;

/** Estimates the memory that an ended job takes, in bytes. */
function estimateBytes(job: Job): number {
  if (job.result?.type !== 'complete') {
    return JOB_OVERHEAD_BYTES;
  }
  return job.result.answersJson.reduce((sum, answer) => sum + answer.length, JOB_OVERHEAD_BYTES);
}

/**
 * Stores every job that this incarnation accepted. Ended jobs are evicted after the retention time
 * or when their answers take too much memory. The numbers of used tickets are never evicted, so
 * that no ticket is accepted twice.
 */
export class JobStore {
  private readonly jobs = new Map<JobId, Job>();

  private readonly usedNumbers = new NumberSet();

  private endedJobs: EndedJob[] = [];

  private endedJobBytes = 0;

  constructor(
    private readonly retentionMs: number,
    private readonly maxAnswerBytes: number,
  ) {}

  /** Counts the jobs that have not ended. */
  countOpenJobs(): number {
    return this.jobs.size - this.endedJobs.length;
  }

  /** Finds a job that has not ended or that ended and is not yet evicted. */
  findJob(id: JobId): Job | undefined {
    return this.jobs.get(id);
  }

  /** Returns whether a ticket with this number was ever accepted. */
  hasUsedNumber(ticketNumber: number): boolean {
    return this.usedNumbers.hasNumber(ticketNumber);
  }

  /** Adds an accepted job and marks its ticket's number as used. */
  addJob(job: Job, ticketNumber: number): void {
    this.usedNumbers.addNumber(ticketNumber);
    this.jobs.set(job.id, job);
  }

  /** Records that a job ended, which starts its retention time. */
  markEnded(job: Job, nowMs: number): void {
    const bytes = estimateBytes(job);
    this.endedJobs.push({ id: job.id, endedAtMs: nowMs, bytes });
    this.endedJobBytes += bytes;
  }

  /**
   * Evicts ended jobs past the retention time, then the oldest ones while they exceed the memory
   * limit.
   */
  evictEndedJobs(nowMs: number): void {
    let evictedCount = 0;
    let remainingBytes = this.endedJobBytes;
    while (evictedCount < this.endedJobs.length) {
      const job = this.endedJobs[evictedCount]!;
      const isExpired = nowMs - job.endedAtMs >= this.retentionMs;
      if (!isExpired && remainingBytes <= this.maxAnswerBytes) {
        break;
      }
      remainingBytes -= job.bytes;
      this.jobs.delete(job.id);
      evictedCount += 1;
    }
    this.endedJobBytes = remainingBytes;
    if (evictedCount > 0) {
      this.endedJobs = this.endedJobs.slice(evictedCount);
    }
  }
}
