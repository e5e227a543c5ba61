import { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KeyValueStore } from '../store/key-value-store';
import type { ClaimResult } from './claim-result';
import { computePartitionKey } from './compute-partition-key';
import type { LedgerClaim } from './ledger-claim';
import { LedgerPartition } from './ledger-partition';

/** The callers' idempotency keys, kept in the platform's store. */
export class IdempotencyLedger {
  private readonly batchRateLimit: TokenBucket;

  private readonly partitions = new Map<string, LedgerPartition>();

  /**
   * @param retentionMs - how long a key is remembered; afterwards it counts as new
   * @param batchesPerSecond - most reads and writes of this process, each, to the store
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
    batchesPerSecond: number,
  ) {
    this.batchRateLimit = new TokenBucket(batchesPerSecond);
  }

  /** Claims a key for a job of this incarnation, unless it is taken. */
  claimKey(claim: LedgerClaim): Promise<ClaimResult> {
    return this.getPartition(computePartitionKey(claim.key)).claimKey(claim);
  }

  private getPartition(storeKey: string): LedgerPartition {
    let partition = this.partitions.get(storeKey);
    if (partition === undefined) {
      partition = new LedgerPartition(
        storeKey,
        this.store,
        this.clock,
        this.retentionMs,
        this.batchRateLimit,
      );
      this.partitions.set(storeKey, partition);
    }
    return partition;
  }
}
