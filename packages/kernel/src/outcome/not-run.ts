import { err, ok, type Result } from 'neverthrow';
import type { AttemptId } from '../ids/attempt-id';

/**
 * Proof that an attempt did not start. The constructor is private, so only the `prove` methods
 * create instances, and no other code can claim that a task did not run.
 */
export class NotRun {
  readonly type = 'not-run';

  private constructor(
    readonly cause: 'never-sent' | 'refused-by-server',
    readonly detail: string,
  ) {}

  /**
   * Proves that no byte of the start request left this process, for example because the connection
   * was refused.
   */
  static proveNeverSent(detail: string): NotRun {
    return new NotRun('never-sent', detail);
  }

  /**
   * Proves that the backend server refused exactly this attempt.
   *
   * @param sentAttempt - the attempt that was sent
   * @param body - the parsed body of the server's 429 or 503 answer
   * @returns the proof, or the reason why the body is not a proof
   */
  static proveRefusedByServer(sentAttempt: AttemptId, body: unknown): Result<NotRun, string> {
    if (typeof body !== 'object' || body === null) {
      return err('the refusal has no JSON object');
    }
    const refusal = body as { attempt?: unknown; notRun?: unknown };
    if (refusal.notRun !== true) {
      return err('the refusal does not say notRun');
    }
    if (refusal.attempt !== sentAttempt) {
      return err('the refusal names another attempt');
    }
    return ok(new NotRun('refused-by-server', 'the backend server refused the start'));
  }
}
