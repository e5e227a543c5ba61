import type { PartId } from '../ids/part-id';
import type { PartLoad } from './part-load';

/** Age from which a report no longer counts, in milliseconds; several report intervals. */
const MAX_REPORT_AGE_MS = 400;
/**
 * Share of a part's reported spare capacity that one leader may use until the next report: several
 * leaders use the same report.
 */
const USABLE_SHARE = 0.5;
/** A part whose leader's event loop lags by more than this offers nothing, in milliseconds. */
const MAX_LOOP_LAG_MS = 50;

interface Offer {
  reportedAtMs: number;
  remainingCpuMilli: number;
}

/** The spare capacity of other parts, to which a leader may move jobs that have not started. */
export class PartOffers {
  private readonly offers = new Map<PartId, Offer>();

  /** Records a report, which replaces the one before. */
  recordLoad(part: PartId, { spareCpuMilli, loopLagMs }: PartLoad, nowMs: number): void {
    this.offers.set(part, {
      reportedAtMs: nowMs,
      remainingCpuMilli: loopLagMs > MAX_LOOP_LAG_MS ? 0 : spareCpuMilli * USABLE_SHARE,
    });
  }

  /**
   * Takes capacity from the part other than `own` that has the most left; undefined if none has
   * enough.
   */
  takeCapacity(own: PartId, cpuMilli: number, nowMs: number): PartId | undefined {
    let best: PartId | undefined;
    let bestOffer: Offer | undefined;
    this.offers.forEach((offer, part) => {
      if (
        part !== own &&
        nowMs - offer.reportedAtMs <= MAX_REPORT_AGE_MS &&
        offer.remainingCpuMilli >= Math.max(cpuMilli, bestOffer?.remainingCpuMilli ?? 0)
      ) {
        best = part;
        bestOffer = offer;
      }
    });
    if (bestOffer !== undefined) {
      bestOffer.remainingCpuMilli -= cpuMilli;
    }
    return best;
  }
}
