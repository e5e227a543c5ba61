import type { Urgency } from './urgency';

/**
 * Subtracted from the key of a job in band 0 for each unit of its group's lag, in milliseconds: a group that
 * is served a tenth less than the others starts as if its jobs had arrived 100 ms earlier.
 */
const LAG_BONUS_MS = 1_000;
/** Reduction of a late job's key for each unit of its group's lag, and the largest one. */
const LATE_LAG_FACTOR = 2;
const MAX_LATE_REDUCTION = 0.9;
/**
 * Added to the key of a late job for each step of its queue's priority: more than the remaining work of any
 * job, less than what separates jobs that have started from others.
 */
const LATE_PRIORITY_STEP = 1e10;

/**
 * Changes the urgency of a job that has not started where queues share a service by priority. Among jobs that
 * can meet their objective, the objective decides and the groups that are served least come earlier; a
 * priority would only let others become late there. Among late jobs, which earn little, the priority decides.
 */
export function computeSharedUrgency(urgency: Urgency, priority: number, lag: number): Urgency {
  switch (urgency.band) {
    case 0:
      return { band: 0, key: urgency.key - LAG_BONUS_MS * lag };
    case 1:
      return {
        band: 1,
        key:
          LATE_PRIORITY_STEP * priority +
          urgency.key * (1 - Math.min(MAX_LATE_REDUCTION, LATE_LAG_FACTOR * lag)),
      };
    default:
      return urgency;
  }
}
