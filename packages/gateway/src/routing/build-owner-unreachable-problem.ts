import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';

/** Builds the problem for a call whose owning dispatcher is unknown or does not answer. */
export function buildOwnerUnreachableProblem(): Problem {
  const detail =
    'The dispatcher that owns this submission cannot be reached, and nobody else may start it. ' +
    'Ask again later; if it stays lost, check what was done before submitting anew.';
  return buildProblem('owner-unreachable', 'unknown', detail, 1000);
}
