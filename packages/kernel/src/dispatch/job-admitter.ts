import type { DomainName } from '../ids/domain-name';
import type { Problem } from '../outcome/problem';
import type { ServerPool } from '../placement/server-pool';
import type { RunTimeEstimator } from '../policy/run-time-estimator';
import type { Scheduler } from '../queue/scheduler';
import { buildJob } from '../submission/build-job';
import type { JobStore } from '../submission/job-store';
import type { JobSubmission } from '../submission/job-submission';
import { findRow } from '../table/find-row';
import type { OperatorsTable } from '../table/operators-table';
import type { TableRow } from '../table/table-row';
import { buildNoRowProblem } from './build-no-row-problem';
import { checkAdmission } from './check-admission';
import type { EffectQueue } from './effect-queue';
import type { JobFinalizer } from './job-finalizer';
import type { SubmitDecision } from './submit-decision';

/** The components that an admission reads, and in which an accepted job is registered. */
interface JobAdmitterDependencies {
  readonly domain: DomainName;
  readonly jobs: JobStore;
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  readonly estimator: RunTimeEstimator;
  readonly effects: EffectQueue;
  readonly finalizer: JobFinalizer;
}

/** Accepts or refuses new submissions. A refused submission leaves no state and starts no task. */
export class JobAdmitter {
  constructor(private readonly dependencies: JobAdmitterDependencies) {}

  /** Decides on a new submission by the given table, and registers the job if it is accepted. */
  admitJob(
    submission: JobSubmission,
    ticketNumber: number,
    table: OperatorsTable,
    nowMs: number,
  ): SubmitDecision {
    const { caller, kind } = submission;
    const row = findRow(table, caller, kind, this.dependencies.domain);
    return row === undefined
      ? this.refuseJob(submission, buildNoRowProblem(table, submission))
      : this.admitUnderRow(submission, ticketNumber, row, nowMs);
  }

  /** Refuses a submission and records an event with the problem's code. */
  refuseJob(submission: JobSubmission, problem: Problem): SubmitDecision {
    this.dependencies.effects.recordEvent('submission-refused', submission.jobId, {
      code: problem.code,
    });
    return { type: 'refused', problem };
  }

  private admitUnderRow(
    submission: JobSubmission,
    ticketNumber: number,
    row: TableRow,
    nowMs: number,
  ): SubmitDecision {
    const { scheduler, pool, estimator, jobs, finalizer, effects } = this.dependencies;
    const deadlineMs = Math.min(submission.deadlineMs ?? row.deadlineMs, row.deadlineMs);
    const flow = scheduler.getFlow(submission.caller, submission.kind, row);
    const job = buildJob(submission, estimator, nowMs, deadlineMs);
    const estimatesMs = job.tasks.map((task) => task.estimateMs);
    const context = { submission, flow, pool, scheduler, deadlineMs, estimatesMs };
    const problem = checkAdmission(context);
    if (problem !== undefined) {
      return this.refuseJob(submission, problem);
    }
    jobs.addJob(job, ticketNumber);
    finalizer.watchDeadline(job);
    scheduler.addJob(flow, job);
    effects.recordEvent('submission-accepted', job.id, { tasks: job.tasks.length });
    return { type: 'accepted', job };
  }
}
