/** Retries earned by each first attempt. */
const EARNED_PER_ATTEMPT = 0.1;
/** Retries that can be saved up. */
const MAX_SAVED = 20;

/** Bounds retries to a fraction of the first attempts, so that failures cannot multiply load. */
export class RetryBudget {
  private saved = MAX_SAVED;

  /** Earns a fraction of a retry for a first attempt. */
  recordFirstAttempt(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + EARNED_PER_ATTEMPT);
  }

  /** Spends one retry; false if none is left. */
  takeRetry(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
