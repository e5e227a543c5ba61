import type { CriticalPath } from './critical-path';
import type { EngineJob } from './engine-job';
import type { StepRunTimeEstimator } from './step-run-time-estimator';

/** Computes the critical path; a step begins when the slowest step that it depends on has ended. */
export function computeCriticalPath(job: EngineJob, runTimes: StepRunTimeEstimator): CriticalPath {
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
