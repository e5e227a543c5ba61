/** Retries earned by each first attempt. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1;
/** Retries that can be saved up. */
const MAX_SAVED_RETRIES = 20;

/** Bounds retries to a fraction of the first attempts, so that failures cannot multiply load. */
export class RetryBudget {
  private savedRetries = MAX_SAVED_RETRIES;

  /** Earns a fraction of a retry for a first attempt. */
  recordFirstAttempt(): void {
    this.savedRetries = Math.min(MAX_SAVED_RETRIES, this.savedRetries + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Spends one retry; false if none is left. */
  takeRetry(): boolean {
    if (this.savedRetries < 1) {
      return false;
    }
    this.savedRetries -= 1;
    return true;
  }
}
