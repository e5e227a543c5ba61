import { buildInvariantError } from '../build-invariant-error';
import type { JobResult } from '../outcome/job-result';
import { MinHeap } from '../queue/min-heap';
import type { Scheduler } from '../queue/scheduler';
import { computeProblemOutcome } from '../submission/compute-problem-outcome';
import { countStartedTasks } from '../submission/count-started-tasks';
import type { Job } from '../submission/job';
import type { JobStore } from '../submission/job-store';
import type { AttemptRegistry } from './attempt-registry';
import { buildProblem } from './build-problem';
import type { EffectQueue } from './effect-queue';

/** The components that are updated when a job ends. */
interface JobFinalizerDependencies {
  readonly jobs: JobStore;
  readonly scheduler: Scheduler;
  readonly attempts: AttemptRegistry;
  readonly effects: EffectQueue;
}

/** Ends jobs. Each job ends exactly once, either with all its answers or with a problem. */
export class JobFinalizer {
  private readonly deadlines = new MinHeap<Job>((job) => job.deadlineAtMs);

  constructor(private readonly dependencies: JobFinalizerDependencies) {}

  /** Registers a job to be ended at its deadline if it has not ended by then. */
  watchDeadline(job: Job): void {
    this.deadlines.pushItem(job);
  }

  /** Ends a job if all its tasks are answered. */
  completeIfAllAnswered(job: Job, nowMs: number): void {
    if (job.answeredCount < job.tasks.length) {
      return;
    }
    const answersJson = job.tasks.map((task) => {
      if (task.state.type !== 'answered') {
        throw buildInvariantError(
          'The answer count of a job exceeds the number of its answered tasks.',
          { job: job.id },
        );
      }
      return task.state.answerJson;
    });
    this.endJob(job, { type: 'complete', answersJson }, nowMs);
  }

  /** Ends a job with a problem and queues stops for its running tasks. */
  failJob(
    job: Job,
    nowMs: number,
    code: 'cancelled' | 'deadline-exceeded' | 'task-failed' | 'outcome-unknown' | 'no-capacity',
    detail: string,
  ): void {
    const problem = buildProblem(code, computeProblemOutcome(job.tasks), detail);
    this.dependencies.scheduler.dropJob(job);
    this.dependencies.attempts.stopTasks(job);
    this.endJob(job, { type: 'problem', problem }, nowMs);
  }

  /** Ends the jobs whose deadline has passed. */
  endOverdueJobs(nowMs: number): void {
    for (;;) {
      const job = this.deadlines.peekItem();
      if (job === undefined || (job.result === undefined && job.deadlineAtMs > nowMs)) {
        return;
      }
      this.deadlines.popItem();
      if (job.result === undefined) {
        this.failJob(job, nowMs, 'deadline-exceeded', 'The deadline passed before all answers.');
      }
    }
  }

  private endJob(job: Job, result: JobResult, nowMs: number): void {
    job.startedCountAtEnd = countStartedTasks(job);
    job.result = result;
    job.tasks = [];
    this.dependencies.jobs.markEnded(job, nowMs);
    const outcome = result.type === 'complete' ? 'complete' : result.problem.outcome;
    this.dependencies.effects.recordEvent('job-ended', job.id, {
      outcome,
      tookMs: Math.round(nowMs - job.acceptedAtMs),
    });
    this.dependencies.effects.addEffects({ type: 'job-ended', job });
  }
}
