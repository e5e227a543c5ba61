import type { CallerName } from '../ids/caller-name';
import type { JobId } from '../ids/job-id';
import type { KindName } from '../ids/kind-name';
import type { TaskInput } from './task-input';

/** A validated submission that is passed to the kernel. */
export interface JobSubmission {
  readonly jobId: JobId;
  readonly caller: CallerName;
  readonly kind: KindName;
  readonly bodyHash: string;
  readonly idempotent: boolean;
  /**
   * The caller's deadline in milliseconds from now. If undefined, the deadline of the table row
   * applies.
   */
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskInput[];
}
