import type { InstanceName } from '../ids/instance-name';
import type { PartId } from '../ids/part-id';
import type { JobOutcome } from './job-outcome';

/** How a job left an engine. */
export type RememberedOutcome =
  | JobOutcome
  /** The job was cancelled before it was submitted here; another part may be about to send it on. */
  | { readonly kind: 'cancelled-early' }
  /** No task was started here; the job was sent on to the leader of another part. */
  | {
      readonly kind: 'moved';
      readonly part: PartId;
      readonly owner: InstanceName;
      /** How often leaders had sent the job on then, this time included. */
      readonly moveCount: number;
    };
