import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

/** Reads the job's id from a task's. */
export function parseJobIdOfTask(task: TaskId): JobId {
  const end = task.indexOf('.');
  return (end < 0 ? task : task.slice(0, end)) as JobId;
}
