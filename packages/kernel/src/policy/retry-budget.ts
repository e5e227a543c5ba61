/** Retries added to the budget by each first attempt. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1;
/** Maximum number of retries in the budget. */
const MAX_SAVED_RETRIES = 20;

/**
 * Limits retries to a fraction of the first attempts, so that failures cannot multiply the load.
 */
export class RetryBudget {
  private savedRetries = MAX_SAVED_RETRIES;

  /** Adds the fraction of a retry that a first attempt earns. */
  recordFirstAttempt(): void {
    this.savedRetries = Math.min(MAX_SAVED_RETRIES, this.savedRetries + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  takeRetry(): boolean {
    if (this.savedRetries < 1) {
      return false;
    }
    this.savedRetries -= 1;
    return true;
  }
}
