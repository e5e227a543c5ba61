import { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KeyValueStore } from '../store/key-value-store';
import type { ClaimResult } from './claim-result';
import { computePartitionKey } from './compute-partition-key';
import type { LedgerClaim } from './ledger-claim';
import { LedgerPartition } from './ledger-partition';

/** Stores the callers' idempotency keys in the platform's store. */
export class IdempotencyLedger {
  private readonly batchRateLimit: TokenBucket;

  private readonly partitions = new Map<string, LedgerPartition>();

  /**
   * @param retentionMs - retention of a key in milliseconds; afterwards it counts as new
   * @param batchesPerSecond - maximum reads per second, and writes per second, of this process
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
    batchesPerSecond: number,
  ) {
    this.batchRateLimit = new TokenBucket(batchesPerSecond);
  }

  /** Claims a key for a job of this incarnation, unless an earlier claim exists. */
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
