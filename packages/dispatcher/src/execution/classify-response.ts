import type { AttemptId } from '@guavaspindle/kernel/ids/attempt-id';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import { NotRun } from '@guavaspindle/kernel/outcome/not-run';

const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_INTERNAL_SERVER_ERROR = 500;
const HTTP_SERVICE_UNAVAILABLE = 503;

/** Parses JSON text. Returns undefined if the text is not valid JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Tells whether a response body names the attempt that was sent. */
function namesAttempt(body: unknown, attempt: AttemptId): body is { answer?: unknown } {
  return (
    typeof body === 'object' && body !== null && (body as { attempt?: unknown }).attempt === attempt
  );
}

/**
 * Classifies a backend server's complete response to one attempt. The outcome is `unknown` if the
 * response proves neither that the task ran nor that it did not run.
 */
export function classifyResponse(attempt: AttemptId, status: number, text: string): AttemptOutcome {
  const body = parseJson(text);
  if (status === HTTP_TOO_MANY_REQUESTS || status === HTTP_SERVICE_UNAVAILABLE) {
    return NotRun.proveRefusedByServer(attempt, body).match<AttemptOutcome>(
      (proof) => proof,
      (reason) => ({ type: 'unknown', detail: `status ${status}, but ${reason}` }),
    );
  }
  if (!namesAttempt(body, attempt)) {
    return { type: 'unknown', detail: `status ${status} with an answer to another attempt` };
  }
  if (status === HTTP_OK && body.answer !== undefined) {
    return { type: 'answered', answerJson: JSON.stringify(body.answer) };
  }
  if (status === HTTP_INTERNAL_SERVER_ERROR) {
    return { type: 'failed', detail: 'the backend server ran it and it failed' };
  }
  return { type: 'unknown', detail: `status ${status}` };
}
