import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';

/** What an entry instance asks of the leader. */
export interface LeaderPort {
  /** It leads only its own failure domain, which is cut off. */
  readonly isDomainOnly: boolean;
  submitJob(submission: Omit<EngineSubmission, 'owner'>): void;
  /** Cancels a job, as its caller asks; the entry hears the answer. */
  cancelJob(id: JobId): void;
  /** Nobody waits for the job at this instance any more. */
  dropCaller(id: JobId): void;
}
