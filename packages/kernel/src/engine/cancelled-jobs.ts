import type { JobId } from '../ids/job-id';

/** Jobs that are known to be cancelled, each kept for the retention time from when it was learned. */
export class CancelledJobs {
  /** When each cancellation was learned, in monotonic milliseconds; oldest first. */
  private readonly learnedAtMs = new Map<JobId, number>();

  constructor(private readonly retentionMs: number) {}

  /**
   * Adds a job and evicts those older than the retention time; returns false if the job is known. The
   * time of a known job stays as it is, so that two holders cannot extend it for each other.
   */
  addJob(id: JobId, nowMs: number): boolean {
    this.expireJobs(nowMs);
    if (this.learnedAtMs.has(id)) {
      return false;
    }
    this.learnedAtMs.set(id, nowMs);
    return true;
  }

  hasJob(id: JobId, nowMs: number): boolean {
    const learnedAtMs = this.learnedAtMs.get(id);
    return learnedAtMs !== undefined && nowMs - learnedAtMs < this.retentionMs;
  }

  listJobs(nowMs: number): JobId[] {
    this.expireJobs(nowMs);
    return [...this.learnedAtMs.keys()];
  }

  private expireJobs(nowMs: number): void {
    for (const [id, learnedAtMs] of this.learnedAtMs) {
      if (nowMs - learnedAtMs < this.retentionMs) {
        return;
      }
      this.learnedAtMs.delete(id);
    }
  }
}
