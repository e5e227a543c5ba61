import type { PartId } from '../ids/part-id';
import type { JobOutcome } from './job-outcome';

/** How a job left an engine. */
export type RememberedOutcome =
  | JobOutcome
  /** No task was started here; the job was sent on to the leader of another part. */
  | { readonly kind: 'moved'; readonly part: PartId };
