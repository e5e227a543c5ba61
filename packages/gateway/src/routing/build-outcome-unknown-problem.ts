import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';

/** Builds the answer for a refusal that came after an earlier copy had been sent unanswered. */
export function buildOutcomeUnknownProblem(): Problem {
  const detail =
    'The submission was refused, but an earlier copy of it got no answer and may still arrive. ' +
    'Send the same ticket again later, or check what was done before submitting anew.';
  return buildProblem('outcome-unknown', 'unknown', detail, 1000);
}
