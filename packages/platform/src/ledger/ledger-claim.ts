import type { JobId } from '@guavaspindle/kernel/ids/job-id';

/** One idempotency key as the ledger keeps it in the store. */
export interface LedgerClaim {
  /** Digest of caller and key. */
  readonly key: string;
  /** The job that alone may run under the key; it names the owning incarnation. */
  readonly jobId: JobId;
  readonly bodyHash: string;
  /** When the claim was written, in milliseconds since the Unix epoch. */
  readonly claimedAtMs: number;
}
