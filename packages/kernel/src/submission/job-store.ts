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
const BYTES_PER_JOB = 500;

/** Estimates the bytes that an ended job holds in memory. */
function countBytes(job: Job): number {
  if (job.result?.type !== 'complete') {
    return BYTES_PER_JOB;
  }
  return job.result.answersJson.reduce((sum, answer) => sum + answer.length, BYTES_PER_JOB);
}

/**
 * Every submission that this incarnation accepted. Answers are kept for a while; the number of a
 * used ticket is kept for good, so that no ticket is accepted twice.
 */
export class JobStore {
  private readonly jobs = new Map<JobId, Job>();

  private readonly usedNumbers = new NumberSet();

  private ended: EndedJob[] = [];

  private endedBytes = 0;

  constructor(
    private readonly retentionMs: number,
    private readonly maxAnswerBytes: number,
  ) {}

  /** Number of jobs that have not ended. */
  countOpen(): number {
    return this.jobs.size - this.ended.length;
  }

  /** Finds a job whose answer is still kept, or that has not ended. */
  findJob(id: JobId): Job | undefined {
    return this.jobs.get(id);
  }

  /** Tells whether a ticket with this number was ever accepted. */
  hasUsed(number: number): boolean {
    return this.usedNumbers.hasNumber(number);
  }

  /** Adds an accepted job under its ticket's number. */
  addJob(job: Job, number: number): void {
    this.usedNumbers.addNumber(number);
    this.jobs.set(job.id, job);
  }

  /** Notes that a job ended; its answer is kept from now on for the retention time. */
  endJob(job: Job, nowMs: number): void {
    const bytes = countBytes(job);
    this.ended.push({ id: job.id, endedAtMs: nowMs, bytes });
    this.endedBytes += bytes;
  }

  /** Forgets answers that are too old, and the oldest ones while they take too much memory. */
  forgetAnswers(nowMs: number): void {
    let count = 0;
    let bytes = this.endedBytes;
    while (count < this.ended.length) {
      const job = this.ended[count]!;
      const isOld = nowMs - job.endedAtMs >= this.retentionMs;
      if (!isOld && bytes <= this.maxAnswerBytes) {
        break;
      }
      bytes -= job.bytes;
      this.jobs.delete(job.id);
      count += 1;
    }
    this.endedBytes = bytes;
    if (count > 0) {
      this.ended = this.ended.slice(count);
    }
  }
}
