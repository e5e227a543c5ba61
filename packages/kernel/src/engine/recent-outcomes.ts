import type { JobId } from '../ids/job-id';
import type { RememberedOutcome } from './remembered-outcome';

interface RecentOutcome {
  readonly outcome: RememberedOutcome;
  readonly endedAtMs: number;
}

/** Keeps the outcomes of ended jobs, so that a job that is submitted again gets the same answer. */
export class RecentOutcomes {
  private readonly outcomes = new Map<JobId, RecentOutcome>();

  constructor(private readonly retentionMs: number) {}

  /** Records an outcome and evicts those older than the retention period. */
  recordOutcome(id: JobId, outcome: RememberedOutcome, nowMs: number): void {
    this.outcomes.delete(id);
    this.outcomes.set(id, { outcome, endedAtMs: nowMs });
    for (const [oldestId, oldest] of this.outcomes) {
      if (nowMs - oldest.endedAtMs < this.retentionMs) {
        return;
      }
      this.outcomes.delete(oldestId);
    }
  }

  /** Finds the outcome of a job that ended recently. */
  findOutcome(id: JobId): RememberedOutcome | undefined {
    return this.outcomes.get(id)?.outcome;
  }
}
