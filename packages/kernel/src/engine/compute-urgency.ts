import type { EngineJob } from './engine-job';
import { getCriticalPath } from './get-critical-path';
import { USEFUL_TIME_FACTOR } from './useful-time-factor';
import type { StepRunTimeEstimator } from './step-run-time-estimator';
import type { Urgency } from './urgency';

/**
 * Added to the sort key in band 0, in milliseconds per core-second of remaining work, so that small
 * jobs start before large ones: the capacity that one large job takes serves several small ones.
 */
const DELAY_MS_PER_CORE_SECOND = 15;
const MILLICORE_MS_PER_CORE_SECOND = 1_000_000;
/**
 * Subtracted from the key of a job that has started: it comes before all others of its band, so that
 * few jobs are abandoned after some of their tasks have run.
 */
const STARTED_JOB_BONUS = 1e12;

/**
 * Computes a job's place in the order of starts. Band 0: can still meet its objective, ordered by
 * objective and remaining work. Band 1: late but still useful. Band 2: too late to be useful. Bands 1
 * and 2 are ordered by remaining work. In each band, jobs that have started come before the others.
 * At a load peak this leaves few jobs unserved, and few that are abandoned after some of their tasks
 * have run.
 */
export function computeUrgency(
  job: EngineJob,
  runTimes: StepRunTimeEstimator,
  nowMs: number,
): Urgency {
  const { queue } = job.spec;
  const criticalPath = getCriticalPath(job, runTimes);
  const objectiveMs = queue.stretch * criticalPath.totalMs + queue.targetMs;
  const endMs = nowMs + criticalPath.remainingMs;
  const startedBonus =
    job.runningTasks > 0 || job.remainingTasks < job.tasks.length ? STARTED_JOB_BONUS : 0;
  if (endMs <= job.arrivedAtMs + objectiveMs) {
    const delayMs =
      (DELAY_MS_PER_CORE_SECOND * criticalPath.remainingWork) / MILLICORE_MS_PER_CORE_SECOND;
    return { band: 0, key: job.arrivedAtMs + objectiveMs + delayMs - startedBonus };
  }
  const isStillUseful = endMs <= job.arrivedAtMs + USEFUL_TIME_FACTOR * objectiveMs;
  return { band: isStillUseful ? 1 : 2, key: criticalPath.remainingWork - startedBonus };
}
