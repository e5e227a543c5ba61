import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import type { TaskInput } from '@guavaspindle/kernel/submission/task-input';

/**
 * How resubmissions of the same job are recognized.
 *
 * - `ticket`: by a ticket, which names the only incarnation that may start the tasks.
 * - `key`: by the caller's idempotency key, which is claimed in the ledger.
 * - `none`: not recognized; the caller cannot resubmit the job safely.
 */
type SubmissionIdentity =
  | { readonly type: 'ticket'; readonly ticket: string }
  | { readonly type: 'key'; readonly key: string }
  | { readonly type: 'none' };

/** A validated submission of an authenticated caller. */
export interface Submission {
  readonly identity: SubmissionIdentity;
  readonly caller: CallerName;
  readonly kind: KindName;
  readonly domain: string | undefined;
  readonly bodyHash: string;
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskInput[];
  /** Whether the tasks may run more than once. Only single requests set this. */
  readonly idempotent: boolean;
  /** Whether to wait for the result. If false, the reply gives the job's state at once. */
  readonly wait: boolean;
}
