import type { JobId } from '@guavaspindle/kernel/ids/job-id';

/** The claim of an idempotency key as stored in the ledger. */
export interface LedgerClaim {
  /** Digest of the caller and the key. */
  readonly key: string;
  /** The only job that may run under the key; the id names the owning incarnation. */
  readonly jobId: JobId;
  readonly bodyHash: string;
  /** Time of the claim, in milliseconds since the Unix epoch. */
  readonly claimedAtMs: number;
}
