import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

/** Names a task by its job, occurrence, step and place in the step. */
export function buildTaskId(jobId: JobId, occurrence: number, step: number, index: number): TaskId {
  return `${jobId}.${occurrence}.${step}.${index}` as TaskId;
}
