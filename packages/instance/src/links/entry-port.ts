import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** Messages from the leader to an entry instance, the instance at which a job's callers wait. */
export interface EntryPort {
  endJob(id: JobId, outcome: JobOutcome): void;
  reportDone(id: JobId, task: TaskId): void;
  answerCancel(id: JobId, isKnown: boolean): void;
  /** Reports, by queue, the number of jobs of which no task has started. */
  reportPending(pending: ReadonlyMap<string, number>): void;
  /** The leader is giving up the leadership; another instance is to claim it. */
  reportLeaving(): void;
  /** The leader has stopped leading, which ends the link. */
  endLink(): void;
  /** Returns whether no message has arrived from the entry instance for several ping intervals. */
  isSilent(): boolean;
}
