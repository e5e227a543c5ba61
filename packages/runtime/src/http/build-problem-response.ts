import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { buildProblemDocument } from './build-problem-document';
import { computeHttpStatus } from './compute-http-status';

const MS_PER_SECOND = 1000;

/**
 * Builds the HTTP response for a problem. `Retry-After` is set if the problem has a retry delay,
 * rounded up to whole seconds.
 */
export function buildProblemResponse(problem: Problem): Response {
  const headers = new Headers({ 'content-type': 'application/problem+json' });
  if (problem.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND)));
  }
  const status = computeHttpStatus(problem.code);
  return new Response(JSON.stringify(buildProblemDocument(problem)), { status, headers });
}
