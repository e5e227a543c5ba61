import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import { NotRun } from '@guavaspindle/kernel/outcome/not-run';

/** Classifies an HTTP client error. Only a failure to connect proves that the task did not run. */
export function classifyException(error: unknown): AttemptOutcome {
  const { code, syscall, message } = error as NodeJS.ErrnoException;
  const detail = code ?? message;
  if (syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT') {
    return NotRun.proveNeverSent(`no connection: ${detail}`);
  }
  return { type: 'unknown', detail: `connection lost: ${detail}` };
}
