import type { EngineJob } from './engine-job';
import type { StepRunTimeEstimator } from './step-run-time-estimator';

/**
 * Computes by when a step has to end for the job to meet its objective, in monotonic milliseconds. Each
 * step has the stretch of the longest path up to it; the constant part of the objective is for all.
 */
export function computeStepDeadlineMs(
  job: EngineJob,
  stepIndex: number,
  runTimes: StepRunTimeEstimator,
): number {
  const { steps, queue } = job.spec;
  const ends: number[] = [];
  for (let index = 0; index <= stepIndex; index += 1) {
    const { after, estimatedMs } = steps[index]!;
    const longestMs = Math.max(
      runTimes.estimateLongestRunMs(queue.name, index, estimatedMs),
      job.longestRunMsByStep[index]!,
    );
    ends.push(longestMs + after.reduce((max, earlier) => Math.max(max, ends[earlier]!), 0));
  }
  return job.arrivedAtMs + queue.stretch * ends[stepIndex]! + queue.targetMs;
}
