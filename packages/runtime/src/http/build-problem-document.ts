import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { computeHttpStatus } from './compute-http-status';

/** An RFC 9457 problem document with the extra member `outcome`. */
interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Problem['outcome'];
}

/** Builds the problem document; its title is the problem code with spaces instead of hyphens. */
export function buildProblemDocument(problem: Problem): ProblemDocument {
  return {
    type: `urn:guavaspindle:problem:${problem.code}`,
    title: problem.code.replaceAll('-', ' '),
    status: computeHttpStatus(problem.code),
    detail: problem.detail,
    outcome: problem.outcome,
  };
}
