import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { CancelHints } from './cancel-hints';
import type { CancelLedger } from './cancel-ledger';
import { cancelTiming } from './cancel-timing';

interface CancelCoordinatorOptions {
  readonly part: PartId;
  readonly clock: Clock;
  /** Undefined for the leader of a domain that is cut off, which does not reach the store. */
  readonly ledger: Pick<CancelLedger, 'addCancel'> | undefined;
  /** Cancels a job in the pool that this instance leads; returns whether the job is known there. */
  cancelInPool(id: JobId, isKnown: boolean): boolean;
  /**
   * Cancels a job at the leaders of all other parts; resolves with whether one of them knows the job, or
   * undefined if not all have confirmed the cancellation.
   */
  cancelElsewhere(id: JobId, isKnown: boolean): Promise<boolean | undefined>;
  /** Returns whether this instance has confirmed its claim since the last pause of its process. */
  isClaimFresh(): boolean;
  /** Reads the claim from the store; resolves with whether it is this instance's. */
  confirmClaim(): Promise<boolean>;
}

/**
 * Carries out the cancellations that reach the leader of a part. The leader that an entry instance asks
 * sees to it that no leader may start the job: it tells those of the other parts and records the
 * cancellation in the store for later ones.
 */
export class CancelCoordinator {
  private confirmation: Promise<boolean> | undefined;

  constructor(private readonly options: CancelCoordinatorOptions) {}

  /**
   * Cancels a job. Resolves with whether the job is known; undefined if a leader might still start it,
   * so that the cancellation must not be acknowledged.
   */
  async cancelJob(id: JobId, { isKnown, isForwarded }: CancelHints): Promise<boolean | undefined> {
    const { cancelInPool, cancelElsewhere } = this.options;
    const isKnownHere = cancelInPool(id, isKnown);
    if (isForwarded) {
      return (await this.confirmLeadership()) ? isKnownHere : undefined;
    }
    if (!isKnown && !isKnownHere) {
      const isKnownElsewhere = await cancelElsewhere(id, false);
      if (isKnownElsewhere !== true) {
        const isConfirmed = isKnownElsewhere === false && (await this.confirmLeadership());
        return isConfirmed ? false : undefined;
      }
      cancelInPool(id, true);
    }
    const [reached, isRecorded] = await Promise.all([
      cancelElsewhere(id, true),
      this.recordCancel(id),
    ]);
    return reached !== undefined && isRecorded ? true : undefined;
  }

  /**
   * Records a cancellation for later leaders. While the store does not answer, the memory of the entry
   * instances, which the pool has told, has to do: they tell the next leader before they submit jobs.
   */
  private async recordCancel(id: JobId): Promise<boolean> {
    const { ledger, clock, isClaimFresh } = this.options;
    if (ledger === undefined) {
      return isClaimFresh();
    }
    const isRecorded = ledger.addCancel(id);
    const isHeldInMemory = clock
      .pause(cancelTiming.storeTimeoutMs)
      .then(async () => isClaimFresh() || isRecorded);
    return Promise.race([isRecorded, isHeldInMemory]);
  }

  /** Makes sure that no other instance has claimed the part while this process was paused. */
  private async confirmLeadership(): Promise<boolean> {
    const { ledger, isClaimFresh, confirmClaim } = this.options;
    if (isClaimFresh()) {
      return true;
    }
    if (ledger === undefined) {
      return false;
    }
    this.confirmation ??= confirmClaim().finally(() => {
      this.confirmation = undefined;
    });
    return this.confirmation;
  }
}
