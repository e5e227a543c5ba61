import type { JobId } from '../ids/job-id';
import type { Job } from './job';
import { NumberSet } from './number-set';

/** An ended job waiting to be forgotten. */
interface EndedJob {
  readonly id: JobId;
  readonly endedAtMs: number;
  readonly bytes: number;
}

/** Memory that a kept job takes besides its answers, in bytes. */
const JOB_OVERHEAD_BYTES = 500;

/** Estimates the bytes that an ended job holds in memory. */
function estimateBytes(job: Job): number {
  if (job.result?.type !== 'complete') {
    return JOB_OVERHEAD_BYTES;
  }
  return job.result.answersJson.reduce((sum, answer) => sum + answer.length, JOB_OVERHEAD_BYTES);
}

/**
 * Every submission that this incarnation accepted. Answers are kept for a while; the number of a
 * used ticket is kept for good, so that no ticket is accepted twice.
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

  /** Number of jobs that have not ended. */
  countOpenJobs(): number {
    return this.jobs.size - this.endedJobs.length;
  }

  /** Finds a job whose answer is still kept, or that has not ended. */
  findJob(id: JobId): Job | undefined {
    return this.jobs.get(id);
  }

  /** Tells whether a ticket with this number was ever accepted. */
  hasUsedNumber(ticketNumber: number): boolean {
    return this.usedNumbers.hasNumber(ticketNumber);
  }

  /** Adds an accepted job under its ticket's number. */
  addJob(job: Job, ticketNumber: number): void {
    this.usedNumbers.addNumber(ticketNumber);
    this.jobs.set(job.id, job);
  }

  /** Notes that a job ended; its answer is kept from now on for the retention time. */
  markEnded(job: Job, nowMs: number): void {
    const bytes = estimateBytes(job);
    this.endedJobs.push({ id: job.id, endedAtMs: nowMs, bytes });
    this.endedJobBytes += bytes;
  }

  /** Forgets answers that are too old, and the oldest ones while they take too much memory. */
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
