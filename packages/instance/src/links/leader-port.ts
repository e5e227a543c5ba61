import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { ClosedDomains } from './closed-domains';
import type { CancelRequest } from '../cancels/cancel-request';

/** Messages from an entry instance to the leader. */
export interface LeaderPort {
  /** The leader leads only its own failure domain, which is cut off. */
  readonly isDomainOnly: boolean;
  submitJob(submission: Omit<EngineSubmission, 'owner'>): void;
  /** All open jobs at the part have been submitted; the leader drops the others of this instance. */
  reportAllSubmitted(): void;
  /**
   * Tells the leader which failure domains this instance knows to be evacuated. Absent for a leader in this
   * process, which knows the same.
   */
  reportClosedDomains?(closed: ClosedDomains): void;
  /**
   * Cancels a job at its caller's request. The reply arrives at `EntryPort.answerCancel`, and only if the
   * cancellation is confirmed.
   */
  cancelJob(id: JobId, request: CancelRequest): void;
  /** Tells of jobs that are known to be cancelled; sent before the jobs that are submitted on a new link. */
  reportCancels(ids: readonly JobId[]): void;
  /** Tells of tasks that earlier leaders have reported as done; sent before the jobs that are submitted. */
  reportDoneTasks(tasks: readonly TaskId[]): void;
  /** No caller waits for the job at this instance any more. */
  dropCaller(id: JobId): void;
}
