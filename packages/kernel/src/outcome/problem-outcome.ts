/**
 * Whether the tasks of a submission that ended with a problem have run.
 *
 * - `not-run`: nothing was started, and this submission will start nothing.
 * - `failed`: at least one task ran, and the answers are incomplete.
 * - `unknown`: it is not known whether a task ran.
 */
export type ProblemOutcome = 'not-run' | 'failed' | 'unknown';
