import type { CallerName } from '../ids/caller-name';
import type { JobId } from '../ids/job-id';
import type { KindName } from '../ids/kind-name';
import type { TaskInput } from './task-input';

/** A checked submission on its way into the kernel. */
export interface JobSubmission {
  readonly jobId: JobId;
  readonly caller: CallerName;
  readonly kind: KindName;
  readonly bodyHash: string;
  readonly idempotent: boolean;
  /** The caller's deadline in milliseconds from now; undefined takes the table's. */
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskInput[];
}
