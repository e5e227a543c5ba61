import type { JobId } from '../ids/job-id';
import type { JobOutcome } from './job-outcome';

interface RecentOutcome {
  readonly outcome: JobOutcome;
  readonly endedAtMs: number;
}

/** Keeps the outcomes of ended jobs for a while, so that a job sent again gets the same answer. */
export class RecentOutcomes {
  private readonly outcomes = new Map<JobId, RecentOutcome>();

  constructor(private readonly retentionMs: number) {}

  /** Keeps an outcome and forgets those that are too old. */
  recordOutcome(id: JobId, outcome: JobOutcome, nowMs: number): void {
    this.outcomes.delete(id);
    this.outcomes.set(id, { outcome, endedAtMs: nowMs });
    for (const [oldestId, oldest] of this.outcomes) {
      if (nowMs - oldest.endedAtMs < this.retentionMs) {
        return;
      }
      this.outcomes.delete(oldestId);
    }
  }

  /** Finds the outcome of a job that ended lately. */
  findOutcome(id: JobId): JobOutcome | undefined {
    return this.outcomes.get(id)?.outcome;
  }
}
