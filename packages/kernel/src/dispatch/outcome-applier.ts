import type { AttemptOutcome } from '../outcome/attempt-outcome';
import type { RetryBudget } from '../policy/retry-budget';
import type { Scheduler } from '../queue/scheduler';
import type { TaskState } from '../submission/task-state';
import type { EffectQueue } from './effect-queue';
import type { JobFinalizer } from './job-finalizer';
import type { RunningAttempt } from './running-attempt';

/** The components that an outcome updates. */
interface OutcomeApplierDependencies {
  readonly scheduler: Scheduler;
  readonly retryBudget: RetryBudget;
  readonly effects: EffectQueue;
  readonly finalizer: JobFinalizer;
}

/**
 * Applies the outcomes of attempts to jobs that have not ended. A task is queued again only after
 * proof that it did not run, or if its job is an idempotent request and the retry budget allows it.
 */
export class OutcomeApplier {
  constructor(private readonly dependencies: OutcomeApplierDependencies) {}

  /** Applies an outcome to its task and job. */
  applyOutcome(attempt: RunningAttempt, outcome: AttemptOutcome, nowMs: number): void {
    const { job, task, flow, id } = attempt;
    switch (outcome.type) {
      case 'answered':
        task.state = { type: 'answered', answerJson: outcome.answerJson };
        job.answeredCount += 1;
        this.dependencies.effects.recordEvent('task-answered', job.id, { attempt: id });
        this.dependencies.finalizer.completeIfAllAnswered(job, nowMs);
        return;
      case 'not-run':
        task.state = { type: 'waiting' };
        this.dependencies.scheduler.requeueTask(flow, job, task, attempt.runClass);
        this.dependencies.effects.recordEvent('task-not-run', job.id, {
          attempt: id,
          cause: outcome.cause,
        });
        return;
      case 'failed':
        this.dependencies.effects.recordEvent('task-failed', job.id, { attempt: id });
        this.retryOrFail(attempt, { type: 'failed' }, outcome.detail, nowMs);
        return;
      case 'unknown':
        this.dependencies.effects.recordEvent('task-unknown', job.id, {
          attempt: id,
          reason: outcome.detail,
        });
        this.retryOrFail(attempt, { type: 'unknown' }, outcome.detail, nowMs);
        return;
      default:
        outcome satisfies never;
    }
  }

  /** Queues an idempotent request again if the retry budget allows it; otherwise fails the job. */
  private retryOrFail(
    attempt: RunningAttempt,
    state: Extract<TaskState, { type: 'failed' | 'unknown' }>,
    detail: string,
    nowMs: number,
  ): void {
    const { job, task, flow } = attempt;
    task.mayHaveRun = true;
    if (job.idempotent && this.dependencies.retryBudget.takeRetry()) {
      task.state = { type: 'waiting' };
      this.dependencies.scheduler.requeueTask(flow, job, task, attempt.runClass);
      return;
    }
    task.state = state;
    const code = state.type === 'failed' ? 'task-failed' : 'outcome-unknown';
    this.dependencies.finalizer.failJob(job, nowMs, code, `Task ${task.index}: ${detail}.`);
  }
}
