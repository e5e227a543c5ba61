import type { NotRun } from './not-run';

/**
 * How one attempt ended.
 *
 * - `answered`: the backend server ran the task and answered with this attempt's id.
 * - `failed`: the backend server ran the task and reported a failure.
 * - `not-run`: the attempt is proved not to have started.
 * - `unknown`: the attempt may have run, may still run, or may start later.
 */
export type AttemptOutcome =
  | { readonly type: 'answered'; readonly answerJson: string }
  | { readonly type: 'failed'; readonly detail: string }
  | NotRun
  | { readonly type: 'unknown'; readonly detail: string };
