import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { EntryPort } from './entry-port';
import type { InstanceView } from './instance-view';

/** What the links need of an instance that may lead. */
export interface LinkHost {
  /** Connects an entry and tells what this instance leads; undefined if it does not lead. */
  openEntry(name: InstanceName, port: EntryPort): 'all' | 'domain' | undefined;
  closeEntry(name: InstanceName, port: EntryPort): void;
  submitJob(submission: EngineSubmission): void;
  cancelJob(id: JobId): boolean;
  /** The caller of a job has left the instance. */
  dropCaller(id: JobId, owner: InstanceName): void;
  getView(): InstanceView;
}
