import type { ProblemCode } from '@guavaspindle/kernel/outcome/problem-code';

/** Maps a problem code to its HTTP status. */
export function computeHttpStatus(
  code: ProblemCode,
): 400 | 401 | 403 | 404 | 409 | 413 | 422 | 429 | 500 | 502 | 503 | 504 {
  switch (code) {
    case 'bad-request':
      return 400;
    case 'unauthenticated':
      return 401;
    case 'forbidden-kind':
      return 403;
    case 'unknown-kind':
    case 'unknown-job':
      return 404;
    case 'cancelled':
      return 409;
    case 'too-large':
      return 413;
    case 'body-mismatch':
    case 'ticket-invalid':
    case 'impossible-task':
      return 422;
    case 'over-limit':
      return 429;
    case 'internal':
      return 500;
    case 'owner-unreachable':
    case 'task-failed':
    case 'outcome-unknown':
    case 'answer-forgotten':
      return 502;
    case 'no-capacity':
    case 'draining':
    case 'not-ready':
    case 'store-unavailable':
      return 503;
    case 'deadline-exceeded':
      return 504;
    default:
      return code satisfies never;
  }
}
