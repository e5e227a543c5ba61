import type { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KeyValueStore } from '../store/key-value-store';
import type { ClaimResult } from './claim-result';
import type { LedgerClaim } from './ledger-claim';

/** Maximum size of a partition; the store accepts values up to one megabyte. */
const MAX_PARTITION_BYTES = 900_000;
/** Minimum age at which a claim is refused after a failed read or write of the partition. */
const CLAIM_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 50;
const TOKEN_POLL_INTERVAL_MS = 5;

/** A claim that waits for its result. */
interface PendingClaim {
  readonly claim: LedgerClaim;
  readonly expiresAtMs: number;
  readonly resolve: (result: ClaimResult) => void;
}

/** The content of the partition as last read. */
interface PartitionView {
  readonly claims: readonly LedgerClaim[];
  readonly modifyIndex: number;
}

/** Parses a partition's text; returns undefined if it is not a list of claims. */
function parseClaims(text: string): LedgerClaim[] | undefined {
  try {
    const claims: unknown = JSON.parse(text);
    return Array.isArray(claims) ? (claims as LedgerClaim[]) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * One partition of the ledger. Claims that arrive during a write are written together by the next
 * one (group commit), so that the store's load does not grow with the rate of submissions.
 *
 * If the response to a write is lost, the partition is read back: job ids are unique, so a claim that
 * is found there proves that the write took effect.
 */
export class LedgerPartition {
  private pending: PendingClaim[] = [];

  private isSettling = false;

  constructor(
    private readonly storeKey: string,
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly retentionMs: number,
    /** Limits the batches of this process across all partitions, to limit the store's load. */
    private readonly batchRateLimit: TokenBucket,
  ) {}

  /**
   * Claims a key. Resolves once the claim is settled, or as refused when a read or write of the
   * partition fails after the timeout.
   */
  claimKey(claim: LedgerClaim): Promise<ClaimResult> {
    return new Promise((resolve) => {
      const expiresAtMs = this.clock.now() + CLAIM_TIMEOUT_MS;
      this.pending.push({ claim, expiresAtMs, resolve });
      if (!this.isSettling) {
        this.isSettling = true;
        // The promise rejects only if an invariant is violated; the process must stop then.
        void this.settlePending();
      }
    });
  }

  private async settlePending(): Promise<void> {
    while (this.pending.length > 0) {
      // One read and one write settle all pending claims as a batch.
      // eslint-disable-next-line no-await-in-loop -- the rate limit applies to each batch
      await this.waitForToken();
      // eslint-disable-next-line no-await-in-loop -- each batch depends on the previous write
      const isSettled = await this.settleBatch();
      if (!isSettled) {
        this.refuseExpiredClaims();
        // eslint-disable-next-line no-await-in-loop -- delays the retry after a failure
        await this.clock.pause(RETRY_DELAY_MS);
      }
    }
    this.isSettling = false;
  }

  /** Waits until the rate limit allows another batch, which includes claims that arrive meanwhile. */
  private async waitForToken(): Promise<void> {
    while (!this.batchRateLimit.takeToken(this.clock.now())) {
      // eslint-disable-next-line no-await-in-loop -- polls for the next token
      await this.clock.pause(TOKEN_POLL_INTERVAL_MS);
    }
  }

  /**
   * Tries once to settle the pending claims. Returns false if the partition could not be read, parsed
   * or written. Returns true also if the partition changed after it was read; the claims then stay
   * pending.
   */
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

  /**
   * Resolves the pending claims whose result follows from the view: already written, taken or beyond
   * the partition's maximum size. Merges repeated claims of a key.
   */
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

  /** Merges claims of the same key: later ones resolve when the first one is settled. */
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
