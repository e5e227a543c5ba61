import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';

/**
 * Builds the problem for a submission that was refused after an earlier attempt got no answer. The
 * earlier attempt may still be accepted, so the refusal does not prove that nothing runs.
 */
export function buildOutcomeUnknownProblem(): Problem {
  const detail =
    'The submission was refused, but an earlier copy of it got no answer and may still arrive. ' +
    'Send the same ticket again later, or check what was done before submitting anew.';
  return buildProblem('outcome-unknown', 'unknown', detail, 1000);
}
