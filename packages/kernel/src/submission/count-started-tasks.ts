import type { Job } from './job';

/** Counts the tasks of a job that have or may have started. */
export function countStartedTasks(job: Job): number {
  return job.tasks.filter((task) => task.state.type !== 'waiting' || task.mayHaveRun).length;
}
