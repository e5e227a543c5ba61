import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

/**
 * Builds a task id from the job id, the occurrence, the step number and the index within the step.
 */
export function buildTaskId(jobId: JobId, occurrence: number, step: number, index: number): TaskId {
  return `${jobId}.${occurrence}.${step}.${index}` as TaskId;
}
