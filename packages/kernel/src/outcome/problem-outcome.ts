/**
 * What a problem says about the work.
 *
 * - `not-run`: nothing was started, and this submission will start nothing.
 * - `failed`: at least one task ran, and the answer is not whole.
 * - `unknown`: it cannot be told whether a task ran.
 */
export type ProblemOutcome = 'not-run' | 'failed' | 'unknown';
