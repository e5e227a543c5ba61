import type { Problem } from '../outcome/problem';
import type { ProblemCode } from '../outcome/problem-code';
import type { ProblemOutcome } from '../outcome/problem-outcome';

/**
 * Builds a problem.
 *
 * @param retryAfterMs - when the caller may retry; rounded up to a whole millisecond
 */
export function buildProblem(
  code: ProblemCode,
  outcome: ProblemOutcome,
  detail: string,
  retryAfterMs?: number,
): Problem {
  return {
    code,
    outcome,
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }),
  };
}
