import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import type { ProblemCode } from '@guavaspindle/kernel/outcome/problem-code';
import type { ProblemOutcome } from '@guavaspindle/kernel/outcome/problem-outcome';
import type { Problem as ProblemMessage } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Converts a problem message from a dispatcher to the kernel's type. */
export function decodeProblem(message: ProblemMessage): Problem {
  return {
    code: message.code as ProblemCode,
    detail: message.detail,
    outcome: message.outcome as ProblemOutcome,
    ...(message.retryAfterMs > 0 ? { retryAfterMs: message.retryAfterMs } : {}),
  };
}
