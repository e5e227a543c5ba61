import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { EntryPort } from './entry-port';
import type { InstanceView } from './instance-view';

/** What the link service needs from its instance, which may be the leader. */
export interface LinkHost {
  /**
   * Connects an entry instance. Returns whether this instance leads all failure domains or only its
   * own; undefined if it does not lead.
   */
  openEntry(name: InstanceName, port: EntryPort): 'all' | 'domain' | undefined;
  closeEntry(name: InstanceName, port: EntryPort): void;
  submitJob(submission: EngineSubmission): void;
  cancelJob(id: JobId): boolean;
  /** The caller of a job no longer waits at the entry instance `owner`. */
  dropCaller(id: JobId, owner: InstanceName): void;
  getView(): InstanceView;
}
