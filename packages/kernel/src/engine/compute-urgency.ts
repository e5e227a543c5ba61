import type { EngineJob } from './engine-job';
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

/** Length of the critical path through a job's steps, and the job's remaining work. */
interface CriticalPath {
  /** Duration of the whole job, as if no task were done, in milliseconds. */
  readonly totalMs: number;
  /** Duration of the remaining tasks, in milliseconds. */
  readonly remainingMs: number;
  /** Remaining CPU time, in thousandths of a core times milliseconds. */
  readonly remainingWork: number;
}

/** Computes the critical path; a step begins when the slowest step that it depends on has ended. */
function computeCriticalPath(job: EngineJob, runTimes: StepRunTimeEstimator): CriticalPath {
  const { steps, queue } = job.spec;
  const totalEnds: number[] = [];
  const remainingEnds: number[] = [];
  let totalMs = 0;
  let remainingMs = 0;
  let remainingWork = 0;
  for (let index = 0; index < steps.length; index += 1) {
    const step = steps[index]!;
    const runMs = runTimes.estimateRunMs(queue.name, index, step.estimatedMs);
    const remainingTasks = job.remainingByStep[index]!;
    const longestMs = Math.max(
      runTimes.estimateLongestRunMs(queue.name, index, step.estimatedMs),
      job.longestRunMsByStep[index]!,
    );
    let totalEnd = longestMs;
    let remainingEnd = remainingTasks > 0 ? runMs : 0;
    for (const earlier of step.after) {
      totalEnd = Math.max(totalEnd, totalEnds[earlier]! + longestMs);
      remainingEnd = Math.max(
        remainingEnd,
        remainingEnds[earlier]! + (remainingTasks > 0 ? runMs : 0),
      );
    }
    totalEnds.push(totalEnd);
    remainingEnds.push(remainingEnd);
    totalMs = Math.max(totalMs, totalEnd);
    remainingMs = Math.max(remainingMs, remainingEnd);
    remainingWork += remainingTasks * runMs * step.demand.cpuMilli;
  }
  return { totalMs, remainingMs, remainingWork };
}

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
  const criticalPath = computeCriticalPath(job, runTimes);
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
