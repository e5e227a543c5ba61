import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** What the leader tells an entry instance. */
export interface EntryPort {
  endJob(id: JobId, outcome: JobOutcome): void;
  reportDone(id: JobId, task: TaskId): void;
  answerCancel(id: JobId, isKnown: boolean): void;
  /** Jobs of each queue of which nothing has started. */
  reportPending(pending: ReadonlyMap<string, number>): void;
  /** The leader gives up the lead; another instance is to claim it. */
  reportLeaving(): void;
  /** The instance does not lead any more: the link is over. */
  endLink(): void;
  /** Tells whether the instance has not been heard for longer than a few pings. */
  isSilent(): boolean;
}
