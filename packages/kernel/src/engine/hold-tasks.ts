import type { EngineJob } from './engine-job';

/** Starts no waiting task of a job before the given time. */
export function holdTasks({ tasks }: EngineJob, untilMs: number): void {
  tasks.forEach((task) => {
    task.blockedUntilMs = Math.max(task.blockedUntilMs, untilMs);
  });
}
