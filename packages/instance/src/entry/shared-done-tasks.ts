import type { TaskId } from '@guavaspindle/kernel/ids/task-id';

/** How long done tasks are kept; as long as leaders keep those whose jobs they do not have. */
const RETENTION_MS = 10_000;

/** Done tasks of jobs that other instances own, of which this instance tells the next leader. */
export class SharedDoneTasks {
  /** When each task was reported, in monotonic milliseconds; oldest first. */
  private readonly reportedAtMs = new Map<TaskId, number>();

  addTask(task: TaskId, nowMs: number): void {
    this.expireTasks(nowMs);
    if (!this.reportedAtMs.has(task)) {
      this.reportedAtMs.set(task, nowMs);
    }
  }

  listTasks(nowMs: number): TaskId[] {
    this.expireTasks(nowMs);
    return [...this.reportedAtMs.keys()];
  }

  private expireTasks(nowMs: number): void {
    for (const [task, reportedAtMs] of this.reportedAtMs) {
      if (nowMs - reportedAtMs < RETENTION_MS) {
        return;
      }
      this.reportedAtMs.delete(task);
    }
  }
}
