import { computeCriticalPath } from './compute-critical-path';
import type { CriticalPath } from './critical-path';
import type { EngineJob } from './engine-job';
import type { StepRunTimeEstimator } from './step-run-time-estimator';

/**
 * Returns a job's critical path. It is computed again only when the job's remaining tasks or the run times
 * learned for its queue have changed.
 */
export function getCriticalPath(job: EngineJob, runTimes: StepRunTimeEstimator): CriticalPath {
  const revision = runTimes.getRevision(job.spec.queue.name);
  const { knownPath } = job;
  if (knownPath?.revision === revision && knownPath.remainingTasks === job.remainingTasks) {
    return knownPath.path;
  }
  const path = computeCriticalPath(job, runTimes);
  job.knownPath = { path, revision, remainingTasks: job.remainingTasks };
  return path;
}
