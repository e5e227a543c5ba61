import type { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KeyValueStore } from '../store/key-value-store';
import type { ClaimResult } from './claim-result';
import type { LedgerClaim } from './ledger-claim';

/** A partition takes claims up to this size; the store holds values up to a megabyte. */
const MAX_PARTITION_BYTES = 900_000;
/** A claim is refused when the store could not settle it in this time. */
const CLAIM_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 50;
const TOKEN_POLL_INTERVAL_MS = 5;

/** A claim waiting to be settled. */
interface PendingClaim {
  readonly claim: LedgerClaim;
  readonly expiresAtMs: number;
  readonly resolve: (result: ClaimResult) => void;
}

/** The partition as last read. */
interface PartitionView {
  readonly claims: readonly LedgerClaim[];
  readonly modifyIndex: number;
}

/** Reads a partition's text; undefined if something else has been written there. */
function parseClaims(text: string): LedgerClaim[] | undefined {
  try {
    const claims: unknown = JSON.parse(text);
    return Array.isArray(claims) ? (claims as LedgerClaim[]) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * One partition of the ledger. Claims that arrive while a write is under way are written together
 * by the next one (group commit), so the store's load grows with time and not with submissions.
 *
 * Whether a write whose answer was lost took effect is settled by reading back: the claim's job id
 * is unique, so finding it proves that the write landed.
 */
export class LedgerPartition {
  private pending: PendingClaim[] = [];

  private isSettling = false;

  constructor(
    private readonly storeKey: string,
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
    /** Bounds this process's batches over all partitions, for the sake of the platform's store. */
    private readonly batchRateLimit: TokenBucket,
  ) {}

  /** Claims a key; resolves when the store has settled it, or could not in time. */
  claimKey(claim: LedgerClaim): Promise<ClaimResult> {
    return new Promise((resolve) => {
      const expiresAtMs = this.clock.now() + CLAIM_TIMEOUT_MS;
      this.pending.push({ claim, expiresAtMs, resolve });
      if (!this.isSettling) {
        this.isSettling = true;
        // Only a broken invariant can reject here, and that has to stop the process.
        void this.settlePending();
      }
    });
  }

  private async settlePending(): Promise<void> {
    while (this.pending.length > 0) {
      // One read and one write settle everything that waits; then the next batch has its turn.
      // eslint-disable-next-line no-await-in-loop -- batches are written one after the other
      await this.waitForToken();
      // eslint-disable-next-line no-await-in-loop -- batches are written one after the other
      const isSettled = await this.settleBatch();
      if (!isSettled) {
        this.refuseExpiredClaims();
        // eslint-disable-next-line no-await-in-loop -- lets a failing store rest
        await this.clock.pause(RETRY_DELAY_MS);
      }
    }
    this.isSettling = false;
  }

  /** Waits until the pace allows another batch; claims that arrive meanwhile join it. */
  private async waitForToken(): Promise<void> {
    while (!this.batchRateLimit.takeToken(this.clock.now())) {
      // eslint-disable-next-line no-await-in-loop -- polls for the next token
      await this.clock.pause(TOKEN_POLL_INTERVAL_MS);
    }
  }

  /** Returns false if the store could not be asked. */
  private async settleBatch(): Promise<boolean> {
    const read = await this.readView();
    if (read === undefined) {
      return false;
    }
    const view = this.resolveFromView(read);
    const batch = [...this.pending];
    if (batch.length === 0) {
      return true;
    }
    const text = JSON.stringify([...view.claims, ...batch.map((pending) => pending.claim)]);
    const written = await this.store.compareAndSet(this.storeKey, text, view.modifyIndex);
    if (written.isErr()) {
      return false;
    }
    if (written.value) {
      this.resolveClaims(batch, { type: 'claimed' });
    }
    return true;
  }

  private async readView(): Promise<PartitionView | undefined> {
    const read = await this.store.readValue(this.storeKey);
    if (read.isErr()) {
      return undefined;
    }
    if (read.value === undefined) {
      return { claims: [], modifyIndex: 0 };
    }
    const oldestMs = this.clock.wall() - this.retentionMs;
    const claims = parseClaims(read.value.text);
    if (claims === undefined) {
      return undefined;
    }
    return {
      claims: claims.filter((claim) => claim.claimedAtMs >= oldestMs),
      modifyIndex: read.value.modifyIndex,
    };
  }

  /** Answers claims that the view settles: landed, taken, repeated in the batch, or no room. */
  private resolveFromView(view: PartitionView): PartitionView {
    const byKey = new Map(view.claims.map((claim) => [claim.key, claim]));
    let bytes = JSON.stringify(view.claims).length;
    [...this.pending].forEach((pending) => {
      const { claim } = pending;
      const earlier = byKey.get(claim.key);
      if (earlier !== undefined) {
        const isOwn = earlier.jobId === claim.jobId;
        this.resolveClaims(
          [pending],
          isOwn ? { type: 'claimed' } : { type: 'taken', claim: earlier },
        );
        return;
      }
      bytes += JSON.stringify(claim).length + 1;
      if (bytes > MAX_PARTITION_BYTES) {
        this.resolveClaims([pending], { type: 'full' });
      }
    });
    this.mergeRepeatedClaims();
    return view;
  }

  /** Answers a key that stands twice in the batch once its first claim is settled. */
  private mergeRepeatedClaims(): void {
    const firstByKey = new Map<string, PendingClaim>();
    const uniqueClaims: PendingClaim[] = [];
    this.pending.forEach((pending) => {
      const earlier = firstByKey.get(pending.claim.key);
      if (earlier === undefined) {
        firstByKey.set(pending.claim.key, pending);
        uniqueClaims.push(pending);
        return;
      }
      uniqueClaims[uniqueClaims.indexOf(earlier)] = {
        ...earlier,
        resolve: (result) => {
          earlier.resolve(result);
          pending.resolve(
            result.type === 'claimed' ? { type: 'taken', claim: earlier.claim } : result,
          );
        },
      };
      firstByKey.set(
        pending.claim.key,
        uniqueClaims.find((other) => other.claim === earlier.claim)!,
      );
    });
    this.pending = uniqueClaims;
  }

  private refuseExpiredClaims(): void {
    const nowMs = this.clock.now();
    const expired = this.pending.filter((pending) => pending.expiresAtMs <= nowMs);
    this.resolveClaims(expired, { type: 'refused', detail: 'the store does not answer' });
  }

  private resolveClaims(settled: readonly PendingClaim[], result: ClaimResult): void {
    const settledJobIds = new Set(settled.map((pending) => pending.claim.jobId));
    this.pending = this.pending.filter((pending) => !settledJobIds.has(pending.claim.jobId));
    settled.forEach((pending) => pending.resolve(result));
  }
}
