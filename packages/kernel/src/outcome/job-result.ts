import type { Problem } from './problem';

/**
 * The result of a job: all answers in task order, or one problem. Partial answers are never
 * returned.
 */
export type JobResult =
  | { readonly type: 'complete'; readonly answersJson: readonly string[] }
  | { readonly type: 'problem'; readonly problem: Problem };
