import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import type { TaskInput } from '@guavaspindle/kernel/submission/task-input';

/**
 * How a submission may be told from its repetitions.
 *
 * - `ticket`: by a ticket, which names the only incarnation that may start its tasks.
 * - `key`: by the caller's own idempotency key, claimed in the ledger.
 * - `none`: not at all; it cannot be resubmitted.
 */
type SubmissionIdentity =
  | { readonly type: 'ticket'; readonly ticket: string }
  | { readonly type: 'key'; readonly key: string }
  | { readonly type: 'none' };

/** A checked submission of an authenticated caller. */
export interface Submission {
  readonly identity: SubmissionIdentity;
  readonly caller: CallerName;
  readonly kind: KindName;
  readonly domain: string | undefined;
  readonly bodyHash: string;
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskInput[];
  /** A single request that may run more than once. */
  readonly idempotent: boolean;
  /** False returns the job's state at once. */
  readonly wait: boolean;
}
