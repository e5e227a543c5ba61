import type { PooledServer } from '../placement/pooled-server';
import type { ServerPool } from '../placement/server-pool';
import type { RetryBudget } from '../policy/retry-budget';
import type { Flow } from '../queue/flow';
import type { Scheduler } from '../queue/scheduler';
import type { TaskPick } from '../queue/task-pick';
import { computeProblemOutcome } from '../submission/compute-problem-outcome';
import { minLeaseMs } from '../submission/min-lease-ms';
import type { AttemptRegistry } from './attempt-registry';
import type { EffectQueue } from './effect-queue';
import type { JobFinalizer } from './job-finalizer';

/** The components that a start reads or updates. */
interface TaskStarterDependencies {
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  readonly attempts: AttemptRegistry;
  readonly retryBudget: RetryBudget;
  readonly effects: EffectQueue;
  readonly finalizer: JobFinalizer;
}

/** Starts waiting tasks on backend servers with free slots. */
export class TaskStarter {
  constructor(private readonly dependencies: TaskStarterDependencies) {}

  /**
   * Starts waiting tasks while limits, the cap on long tasks and free slots allow it. Fails jobs
   * that have become too late to start.
   */
  startTasks(nowMs: number): void {
    const skipped = new Set<Flow>();
    const slots = this.dependencies.pool.countSlots();
    while (this.dependencies.pool.hasFreeSlot(nowMs)) {
      const pick = this.dependencies.scheduler.pickTask(nowMs, slots, skipped);
      if (pick === undefined) {
        return;
      }
      const account = this.dependencies.pool.chooseServer(pick.task.input.demand, nowMs);
      if (account === undefined) {
        skipped.add(pick.flow);
      } else if (TaskStarter.isTooLateToStart(pick, nowMs)) {
        this.dependencies.finalizer.failJob(
          pick.job,
          nowMs,
          'no-capacity',
          'No slot became free in time.',
        );
      } else {
        this.startTask(pick, account, nowMs);
      }
    }
  }

  /**
   * Tells whether queueing has made a job miss its deadline: none of its tasks has run, and the
   * task was expected to end in time at acceptance but is not any more.
   */
  private static isTooLateToStart({ job, task }: TaskPick, nowMs: number): boolean {
    const wasInTime = job.acceptedAtMs + task.estimateMs <= job.deadlineAtMs;
    const isLate = nowMs + task.estimateMs > job.deadlineAtMs;
    return wasInTime && isLate && computeProblemOutcome(job.tasks) === 'not-run';
  }

  private startTask(pick: TaskPick, account: PooledServer, nowMs: number): void {
    const { id, job, task } = this.dependencies.attempts.beginAttempt(pick, account, nowMs);
    if (task.attempts === 1) {
      this.dependencies.retryBudget.recordFirstAttempt();
    }
    const leaseMs = Math.max(minLeaseMs, job.deadlineAtMs - nowMs);
    this.dependencies.effects.addEffects({
      type: 'start',
      attempt: id,
      job,
      task,
      server: account.info,
      leaseMs,
    });
    this.dependencies.effects.recordEvent('task-started', job.id, {
      attempt: id,
      server: account.info.id,
    });
  }
}
