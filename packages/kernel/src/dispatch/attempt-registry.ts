import type { AttemptId } from '../ids/attempt-id';
import type { ServerId } from '../ids/server-id';
import type { AttemptOutcome } from '../outcome/attempt-outcome';
import type { PooledServer } from '../placement/pooled-server';
import type { ServerPool } from '../placement/server-pool';
import type { RunTimeEstimator } from '../policy/run-time-estimator';
import type { Scheduler } from '../queue/scheduler';
import type { TaskPick } from '../queue/task-pick';
import type { Job } from '../submission/job';
import type { RunningAttempt } from './running-attempt';
import { StopQueue } from './stop-queue';

/** The components that the registry updates when an attempt begins or ends. */
interface AttemptRegistryDependencies {
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  readonly estimator: RunTimeEstimator;
  readonly reportEjection: (server: ServerId) => void;
}

/**
 * Tracks the attempts whose outcome is not known yet, and the slots and limits that they occupy.
 */
export class AttemptRegistry {
  private readonly attempts = new Map<AttemptId, RunningAttempt>();

  private readonly stops = new StopQueue();

  constructor(private readonly dependencies: AttemptRegistryDependencies) {}

  /**
   * Takes a picked task from its queue, occupies a slot of the server, and returns the new attempt.
   */
  beginAttempt(pick: TaskPick, account: PooledServer, nowMs: number): RunningAttempt {
    const { job, task, flow, runClass } = pick;
    this.dependencies.scheduler.dequeueTask(pick, nowMs);
    task.attempts += 1;
    const id = `${task.id}/${task.attempts}` as AttemptId;
    task.state = { type: 'started', attempt: id, server: account.info.id };
    account.recordStart(nowMs);
    const attempt = { id, job, task, flow, account, startedAtMs: nowMs, runClass };
    this.attempts.set(id, attempt);
    return attempt;
  }

  /**
   * Releases what an attempt occupied. Returns undefined if the attempt is not registered, for
   * example because its outcome was reported before.
   */
  endAttempt(id: AttemptId, outcome: AttemptOutcome, nowMs: number): RunningAttempt | undefined {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) {
      return undefined;
    }
    this.attempts.delete(id);
    this.stops.dropStop(id);
    this.releaseAttempt(attempt, outcome, nowMs);
    return attempt;
  }

  /** Queues a stop for every running task of a job whose answers are no longer needed. */
  stopTasks(job: Job): void {
    job.tasks.forEach((task) => {
      const running =
        task.state.type === 'started' ? this.attempts.get(task.state.attempt) : undefined;
      if (running !== undefined) {
        this.stops.addStop(running);
      }
    });
  }

  /** Removes and returns the attempts to stop now. The rate of stops is limited. */
  takeDueStops(nowMs: number): RunningAttempt[] {
    return this.stops.takeDueStops(nowMs);
  }

  /**
   * Reclassifies short attempts as long when they have run for the long threshold, so that they
   * count against the cap on long tasks.
   */
  markOverrunsLong(nowMs: number): void {
    const thresholdMs = this.dependencies.estimator.computeLongThresholdMs();
    this.attempts.forEach((attempt) => {
      if (attempt.runClass === 'short' && nowMs - attempt.startedAtMs >= thresholdMs) {
        attempt.runClass = 'long';
        this.dependencies.scheduler.recordOverrun();
      }
    });
  }

  private releaseAttempt(attempt: RunningAttempt, outcome: AttemptOutcome, nowMs: number): void {
    const { account, flow, job, task } = attempt;
    const ranMs = outcome.type === 'not-run' ? 0 : nowMs - attempt.startedAtMs;
    account.running -= 1;
    this.dependencies.scheduler.releaseTask(flow, attempt.runClass, task.estimateMs, ranMs);
    switch (outcome.type) {
      case 'answered':
        account.health.recordSuccess();
        this.dependencies.estimator.recordRun(job.caller, job.kind, task.input.expectedMs, ranMs);
        return;
      case 'not-run':
        account.health.recordNotRun();
        account.pauseStarts(nowMs);
        if (outcome.cause === 'never-sent') {
          this.recordFailure(account, nowMs);
        }
        return;
      case 'failed':
      case 'unknown':
        this.recordFailure(account, nowMs);
        return;
      default:
        outcome satisfies never;
    }
  }

  private recordFailure(account: PooledServer, nowMs: number): void {
    if (this.dependencies.pool.recordFailure(account, nowMs)) {
      this.dependencies.reportEjection(account.info.id);
    }
  }
}
