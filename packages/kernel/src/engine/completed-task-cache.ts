import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

interface CompletedTasksOfJob {
  readonly tasks: Set<TaskId>;
  readonly firstReportedAtMs: number;
}

/** Caches tasks that servers report as done before their job is submitted to this leader. */
export class CompletedTaskCache {
  private readonly jobs = new Map<JobId, CompletedTasksOfJob>();

  constructor(private readonly retentionMs: number) {}

  /** Adds a task and evicts jobs that were not submitted within the retention period. */
  addTask(jobId: JobId, task: TaskId, nowMs: number): void {
    const entry = this.jobs.get(jobId) ?? { tasks: new Set(), firstReportedAtMs: nowMs };
    entry.tasks.add(task);
    this.jobs.set(jobId, entry);
    for (const [id, oldest] of this.jobs) {
      if (nowMs - oldest.firstReportedAtMs < this.retentionMs) {
        return;
      }
      this.jobs.delete(id);
    }
  }

  /** Removes and returns the tasks of a job. */
  takeTasks(jobId: JobId): ReadonlySet<TaskId> {
    const tasks = this.jobs.get(jobId)?.tasks ?? new Set();
    this.jobs.delete(jobId);
    return tasks;
  }
}
