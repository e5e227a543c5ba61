import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';

/** Builds the answer for a submission whose owner cannot be asked. */
export function buildOwnerUnreachableProblem(): Problem {
  const detail =
    'The dispatcher that owns this submission cannot be reached, and nobody else may start it. ' +
    'Ask again later; if it stays lost, check what was done before submitting anew.';
  return buildProblem('owner-unreachable', 'unknown', detail, 1000);
}
