import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { CancelHints } from '../cancels/cancel-hints';
import type { EntryPort } from './entry-port';
import type { InstanceView } from './instance-view';

/** What the link service needs from its instance, which may lead parts of the backend servers. */
export interface LinkHost {
  /**
   * Connects an entry instance to the leader of a part. Returns whether this instance leads the part
   * in all failure domains or only in its own; undefined if it does not lead the part.
   *
   * @param listsJobs - whether the instance submits all its open jobs at once, which `dropUnlistedJobs`
   *   completes
   */
  openEntry(
    part: PartId,
    name: InstanceName,
    port: EntryPort,
    listsJobs: boolean,
  ): 'all' | 'domain' | undefined;
  /** Lists the servers that the leader of a part may have runs on; empty if it leads only its own domain. */
  listServers(part: PartId): readonly ServerReport[];
  /** An entry instance knows servers that earlier leaders of the part may have used. */
  adoptUnlistedServers(part: PartId, servers: readonly ServerReport[]): void;
  closeEntry(part: PartId, name: InstanceName, port: EntryPort): void;
  submitJob(part: PartId, submission: EngineSubmission): void;
  /** An entry instance has submitted all its open jobs since its link was opened; others are dropped. */
  dropUnlistedJobs(part: PartId, owner: InstanceName): void;
  /** Cancels a job; `answer` is called once the cancellation is confirmed, with whether the job is known. */
  cancelJob(part: PartId, id: JobId, hints: CancelHints, answer: (isKnown: boolean) => void): void;
  /** An entry instance knows of jobs that are cancelled. */
  recordCancels(part: PartId, ids: readonly JobId[]): void;
  /** An entry instance knows of tasks that are done. */
  recordDoneTasks(part: PartId, tasks: readonly TaskId[]): void;
  /** The caller of a job no longer waits at the entry instance `owner`. */
  dropCaller(part: PartId, id: JobId, owner: InstanceName): void;
  getView(part: PartId): InstanceView;
}
