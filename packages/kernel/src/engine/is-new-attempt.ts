import type { EngineSubmission } from './engine-submission';
import type { RememberedOutcome } from './remembered-outcome';

/**
 * Returns whether a job that ended with this outcome may run when it is submitted again. With an
 * unknown outcome it always may. A refused job may only if its caller submitted it anew; a resumed
 * submission is a copy of the refused one, so it stays refused. A job that was sent on to another part
 * stays there unless that part sends it back; a copy that follows it has not been moved more often.
 */
export function isNewAttempt(outcome: RememberedOutcome, submission: EngineSubmission): boolean {
  switch (outcome.kind) {
    case 'unknown':
      return true;
    case 'not-run':
      return !submission.isResumed;
    case 'moved':
      return (
        submission.isMoved &&
        (submission.moveCount === undefined || submission.moveCount > outcome.moveCount)
      );
    case 'cancelled-early':
      // A job that was submitted elsewhere before existed when its cancellation arrived here.
      return !submission.isMoved && !submission.isResumed;
    case 'completed':
    case 'failed':
    case 'cancelled':
    case 'abandoned':
      return false;
    default:
      return outcome satisfies never;
  }
}
