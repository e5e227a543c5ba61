import type { Problem } from '../outcome/problem';
import type { Job } from '../submission/job';

/** The result of a submission: a new job, the existing job of a resubmission, or a refusal. */
export type SubmitDecision =
  | { readonly type: 'accepted'; readonly job: Job }
  | { readonly type: 'existing'; readonly job: Job }
  | { readonly type: 'refused'; readonly problem: Problem };
