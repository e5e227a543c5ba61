import type { EngineJob } from './engine-job';
import { USEFUL_TIME_FACTOR } from './late-factor';
import type { StepRunTimeEstimator } from './step-run-time-estimator';
import type { Urgency } from './urgency';

/**
 * A job comes later in the order by so many milliseconds for each core-second that it still needs:
 * the room of one large job serves several small ones.
 */
const DELAY_MS_PER_CORE_SECOND = 15;
/** Work in milliseconds of a thousandth of a core that makes a core-second. */
const MILLICORE_MS_PER_CORE_SECOND = 1_000_000;
/** Jobs that have started come before all others of their band, so that none is left half done. */
const STARTED_JOB_BONUS = 1e12;

/** End times of the longest chain of a job's steps, in milliseconds from now. */
interface CriticalPath {
  /** Of all the work, as if nothing were done. */
  readonly totalMs: number;
  /** Of the work that is left. */
  readonly remainingMs: number;
  /** Processor time that is left, in milliseconds of a thousandth of a core. */
  readonly remainingWork: number;
}

/** Follows the steps in their order; a step waits for the longest of those before it. */
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
 * Places a job in the order of starts: first jobs that have started, then by objective and work among
 * jobs that can still meet it, then late jobs by the work that is left. At a crest of demand this
 * leaves few jobs unserved and none half done.
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
