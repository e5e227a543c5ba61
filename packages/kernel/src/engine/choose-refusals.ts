import type { CapacityForecast } from './capacity-forecast';
import type { CriticalPath } from './critical-path';
import type { EngineJob } from './engine-job';
import type { PredictedEnd } from './predicted-end';
import type { Urgency } from './urgency';
import { USEFUL_TIME_FACTOR } from './useful-time-factor';

/**
 * Share of the arriving work that is taken to start before a late job. With 0.6, nearly twice as many jobs were
 * refused late on the simulated loads of `docs/design/overload.md`; with 1, more jobs were refused in vain.
 */
const OVERTAKING_SHARE = 0.75;
/** Lowest share of the capacity that late jobs are taken to get, so that their wait stays finite. */
const MIN_LATE_CAPACITY_SHARE = 0.02;

/**
 * Chooses the jobs to refuse: those that have not started and are predicted to end after three times their
 * objective. Each job waits for the tasks of the jobs before it. A job that is late, or will be when its
 * turn comes, also waits for the jobs that arrive meanwhile and can still meet their objective.
 *
 * @param waiting - the jobs that this scheduling pass could not start completely, in the order of starts
 * @param arrivalRateMilli - rate of the arriving work that was not refused, in thousandths of a core
 */
export function chooseRefusals(
  waiting: readonly {
    readonly job: EngineJob;
    readonly urgency: Urgency;
    readonly path: CriticalPath;
  }[],
  forecast: CapacityForecast,
  arrivalRateMilli: number,
  nowMs: number,
): PredictedEnd[] {
  const lateShare = 1 - (OVERTAKING_SHARE * arrivalRateMilli) / forecast.capacityMilli;
  const lateFactor = 1 / Math.max(MIN_LATE_CAPACITY_SHARE, lateShare);
  const refusals: PredictedEnd[] = [];
  let aheadMilli = 0;
  let aheadWork = 0;
  waiting.forEach(({ job, urgency, path }) => {
    const { queue, steps } = job.spec;
    const waitingShare = (job.remainingTasks - job.runningTasks) / job.remainingTasks;
    const demandMilli =
      waitingShare *
      steps.reduce(
        (sum, { demand }, index) => sum + demand.cpuMilli * job.remainingByStep[index]!,
        0,
      );
    const work = waitingShare * path.remainingWork;
    if (!job.hasStarted) {
      const objectiveMs = queue.stretch * path.totalMs + queue.targetMs;
      const startMs = forecast.predictStartMs(
        aheadMilli + demandMilli,
        aheadWork + work * (1 - 1 / job.remainingTasks),
      );
      const isLate =
        urgency.band !== 0 || nowMs + startMs + path.remainingMs > job.arrivedAtMs + objectiveMs;
      const startInMs = isLate ? startMs * lateFactor : startMs;
      const endAtMs = nowMs + startInMs + path.remainingMs;
      const usefulUntilMs = job.arrivedAtMs + USEFUL_TIME_FACTOR * objectiveMs;
      if (startMs > 0 && endAtMs > usefulUntilMs) {
        refusals.push({ job, work, startInMs: startMs, endAtMs, usefulUntilMs });
        return;
      }
    }
    aheadMilli += demandMilli;
    aheadWork += work;
  });
  return refusals;
}
