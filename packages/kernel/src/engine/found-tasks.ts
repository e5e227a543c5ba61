import type { JobId } from '../ids/job-id';
import type { TaskId } from '../ids/task-id';

interface FoundJob {
  readonly tasks: Set<TaskId>;
  readonly foundAtMs: number;
}

/** Tasks that servers list as done and whose jobs have not been handed in to this leader yet. */
export class FoundTasks {
  private readonly jobs = new Map<JobId, FoundJob>();

  constructor(private readonly keepMs: number) {}

  /** Adds a task and forgets those that nobody has asked for. */
  addTask(jobId: JobId, task: TaskId, nowMs: number): void {
    const found = this.jobs.get(jobId) ?? { tasks: new Set(), foundAtMs: nowMs };
    found.tasks.add(task);
    this.jobs.set(jobId, found);
    for (const [id, old] of this.jobs) {
      if (nowMs - old.foundAtMs < this.keepMs) {
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
