import type { PooledServer } from '../placement/pooled-server';
import type { ServerPool } from '../placement/server-pool';
import type { RetryBudget } from '../policy/retry-budget';
import type { Flow } from '../queue/flow';
import type { Scheduler } from '../queue/scheduler';
import type { TaskPick } from '../queue/task-pick';
import { computeOutcome } from '../submission/compute-outcome';
import { minLeaseMs } from '../submission/min-lease-ms';
import type { AttemptBook } from './attempt-book';
import type { EffectQueue } from './effect-queue';
import type { JobEnder } from './job-ender';

/** What a start changes. */
interface TaskStarterParts {
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  readonly attempts: AttemptBook;
  readonly retryBudget: RetryBudget;
  readonly effects: EffectQueue;
  readonly ender: JobEnder;
}

/** Brings waiting tasks and free slots together. */
export class TaskStarter {
  constructor(private readonly parts: TaskStarterParts) {}

  /** Starts waiting tasks while limits, classes and slots allow it. */
  startTasks(nowMs: number): void {
    const skipped = new Set<Flow>();
    const slots = this.parts.pool.countSlots();
    while (this.parts.pool.hasFreeSlot(nowMs)) {
      const pick = this.parts.scheduler.pickTask(nowMs, slots, skipped);
      if (pick === undefined) {
        return;
      }
      const account = this.parts.pool.chooseServer(pick.task.input.demand, nowMs);
      if (account === undefined) {
        skipped.add(pick.flow);
      } else if (TaskStarter.isHopeless(pick, nowMs)) {
        this.parts.ender.failJob(pick.job, nowMs, 'no-capacity', 'No slot became free in time.');
      } else {
        this.startTask(pick, account, nowMs);
      }
    }
  }

  /** Tells whether waiting has made a job late of which nothing has started. */
  private static isHopeless({ job, task }: TaskPick, nowMs: number): boolean {
    const wasInTime = job.acceptedAtMs + task.estimateMs <= job.deadlineAtMs;
    const isLate = nowMs + task.estimateMs > job.deadlineAtMs;
    return wasInTime && isLate && computeOutcome(job.tasks) === 'not-run';
  }

  private startTask(pick: TaskPick, account: PooledServer, nowMs: number): void {
    const { id, job, task } = this.parts.attempts.beginAttempt(pick, account, nowMs);
    if (task.attempts === 1) {
      this.parts.retryBudget.recordFirstAttempt();
    }
    const leaseMs = Math.max(minLeaseMs, job.deadlineAtMs - nowMs);
    this.parts.effects.addEffects({
      type: 'start',
      attempt: id,
      job,
      task,
      server: account.info,
      leaseMs,
    });
    this.parts.effects.recordEvent('task-started', job.id, {
      attempt: id,
      server: account.info.id,
    });
  }
}
