import type { Problem } from './problem';

/** The end of a job: every answer in task order, or one problem; never a part of the answers. */
export type JobResult =
  | { readonly type: 'complete'; readonly answersJson: readonly string[] }
  | { readonly type: 'problem'; readonly problem: Problem };
