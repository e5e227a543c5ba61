import type { HandedJob } from '@guavaspindle/kernel/engine/handed-job';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';

/** What an entry instance asks of the leader. */
export interface LeaderPort {
  /** It leads only its own failure domain, which is cut off. */
  readonly isDomainOnly: boolean;
  submitJob(handed: Omit<HandedJob, 'owner'>): void;
  /** @param callerLeft - nobody waits for an answer */
  cancelJob(id: JobId, callerLeft: boolean): void;
}
