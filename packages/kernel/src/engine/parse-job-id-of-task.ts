import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

/** Parses the job id from a task id. */
export function parseJobIdOfTask(task: TaskId): JobId {
  const end = task.indexOf('.');
  return (end < 0 ? task : task.slice(0, end)) as JobId;
}
