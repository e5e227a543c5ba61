import type { Problem } from '../outcome/problem';
import type { Job } from '../submission/job';

/** What became of a submission: a new job, one that was here before, or a refusal. */
export type SubmitDecision =
  | { readonly type: 'accepted'; readonly job: Job }
  | { readonly type: 'existing'; readonly job: Job }
  | { readonly type: 'refused'; readonly problem: Problem };
