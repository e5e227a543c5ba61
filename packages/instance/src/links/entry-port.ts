import type { CrashRecord } from '@guavaspindle/kernel/engine/crash-record';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { PartLoad } from '@guavaspindle/kernel/layout/part-load';

/** Messages from the leader to an entry instance, the instance at which a job's callers wait. */
export interface EntryPort {
  /**
   * Whether the entry instance is another process, which may outlive the leader, and keeps the done tasks of jobs that
   * it does not own; one of an earlier build does not.
   */
  readonly keepsDoneTasks: boolean;
  endJob(id: JobId, outcome: JobOutcome): void;
  /** The job has not started; it is to be submitted to the leader of another part. */
  moveJob(id: JobId, part: PartId, wasMovedBefore: boolean): void;
  /** A task is done, maybe of a job of another instance; the entry instance tells the next leader. */
  reportDone(id: JobId, task: TaskId): void;
  /**
   * Resolves with true once the entry instance has taken in all done tasks and ended jobs that have been sent so far,
   * with false if the link ends before.
   */
  waitForReceipt(): Promise<boolean>;
  /** A server crashed or fell silent while it ran a task, maybe of a job of another instance. */
  reportCrash(record: CrashRecord): void;
  /**
   * The life of a server that began at this time has answered; undefined if the earlier life has ended.
   *
   * @param clearedTasks - tasks whose runs that life has accepted
   */
  reportLife(
    serverId: ServerId,
    startedAtMs: number | undefined,
    clearedTasks: readonly TaskId[],
  ): void;
  /** A run of the job is on a server whose store entry is gone, so another leader may not know the server. */
  reportHiddenRun(id: JobId): void;
  /**
   * The leader no longer uses these servers, which have no entry in the store. The owners of the jobs with runs there
   * have been told.
   */
  reportSettledServers(ids: readonly ServerId[]): void;
  /**
   * Confirms a cancellation: no leader that can still act may start the job; if the cancellation was
   * forwarded, the leader of this part may not.
   *
   * @param request - the number that the request carried; undefined if one of the two processes is of an earlier build
   */
  answerCancel(id: JobId, isKnown: boolean, isForwarded: boolean, request?: number): void;
  /** Jobs that are cancelled; the entry instance tells the next leader. */
  reportCancels(ids: readonly JobId[]): void;
  /** Reports, by queue, the number of jobs of which no task has started. */
  reportPending(pending: ReadonlyMap<string, number>): void;
  reportLoad(load: PartLoad): void;
  /** The leader is giving up the leadership; the successor is to claim it, or else any instance. */
  reportLeaving(successor: InstanceName | undefined): void;
  /** The leader has stopped leading; it has started nothing of these jobs and will start nothing. */
  reportUnstarted(ids: readonly JobId[]): void;
  /** The leader has stopped leading, which ends the link. */
  endLink(): void;
  /** Returns whether no message has arrived from the entry instance for several ping intervals. */
  isSilent(): boolean;
  /**
   * Asks whether the entry instance still uses the link; it counts as silent until it has answered. What
   * has arrived before says nothing about it.
   */
  requestProof(): void;
}
