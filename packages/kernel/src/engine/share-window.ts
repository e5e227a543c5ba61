/** Time constant of the window: what was decided this long ago counts with a weight of 1/e. */
const WINDOW_MS = 8_000;
/** Weight of the newest amount in the mean amount of a decision. */
const NEWEST_WEIGHT = 0.05;
/** Decisions of a mean amount that a group is credited with, so that few decisions change no share much. */
const PRIOR_DECISIONS = 3;

interface GroupCounts {
  served: number;
  lost: number;
  meanAmount: number;
  updatedAtMs: number;
}

/** Counts by group of jobs, over a sliding window, how much was served of what was decided on. */
export class ShareWindow {
  private readonly groups = new Map<string, GroupCounts>();

  /** Records that an amount of a group's work was served or, with `isServed` false, lost. */
  recordDecision(group: string, amount: number, isServed: boolean, nowMs: number): void {
    const counts = this.groups.get(group);
    if (counts === undefined) {
      this.groups.set(group, {
        served: isServed ? amount : 0,
        lost: isServed ? 0 : amount,
        meanAmount: amount,
        updatedAtMs: nowMs,
      });
      return;
    }
    const weight = Math.exp((counts.updatedAtMs - nowMs) / WINDOW_MS);
    counts.served = counts.served * weight + (isServed ? amount : 0);
    counts.lost = counts.lost * weight + (isServed ? 0 : amount);
    counts.meanAmount += (amount - counts.meanAmount) * NEWEST_WEIGHT;
    counts.updatedAtMs = nowMs;
  }

  /** Computes the served share of a group; 1 if nothing is known of it. */
  computeShare(group: string, nowMs: number): number {
    const counts = this.groups.get(group);
    if (counts === undefined) {
      return 1;
    }
    const weight = Math.exp((counts.updatedAtMs - nowMs) / WINDOW_MS);
    const prior = PRIOR_DECISIONS * counts.meanAmount;
    return (counts.served * weight + prior) / ((counts.served + counts.lost) * weight + prior);
  }
}
