import type { JobStore } from '../submission/job-store';
import type { JobSubmission } from '../submission/job-submission';
import { buildProblem } from './build-problem';
import type { SubmitDecision } from './submit-decision';

/**
 * Decides on a submission whose ticket was used before. Returns the existing job if the body is the
 * same, a refusal if the body differs or the answer is no longer kept, and undefined if the
 * submission is new.
 */
export function findDuplicateSubmission(
  jobs: JobStore,
  submission: JobSubmission,
  ticketNumber: number,
): SubmitDecision | undefined {
  const job = jobs.findJob(submission.jobId);
  if (job !== undefined) {
    const isSame = job.caller === submission.caller && job.bodyHash === submission.bodyHash;
    const detail = 'The ticket or key was used with another body; use a new one.';
    return isSame
      ? { type: 'existing', job }
      : { type: 'refused', problem: buildProblem('body-mismatch', 'not-run', detail) };
  }
  if (!jobs.hasUsedNumber(ticketNumber)) {
    return undefined;
  }
  const detail = 'This submission was accepted before and its answer is no longer kept.';
  return { type: 'refused', problem: buildProblem('answer-forgotten', 'unknown', detail) };
}
