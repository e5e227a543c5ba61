import { countJobItems } from './count-job-items';
import type { EngineJob } from './engine-job';
import type { EngineSubmission } from './engine-submission';

/**
 * Returns whether a leader may take a job beside its open ones without standing still. One of which something may
 * have started is always taken: an earlier leader has admitted it.
 */
export function hasRoomForJob(
  openJobs: Iterable<EngineJob>,
  { spec, isResumed, isUnstarted, doneTasks }: EngineSubmission,
  maxOpenItems: number,
): boolean {
  if ((isResumed && isUnstarted !== true) || doneTasks.size > 0) {
    return true;
  }
  let items = countJobItems(spec);
  for (const job of openJobs) {
    items += countJobItems(job.spec);
  }
  return items <= maxOpenItems;
}
