import type { AttemptId } from '../ids/attempt-id';
import type { JobId } from '../ids/job-id';
import type { FlowSource } from '../limits/flow-source';
import { LimitBorrower } from '../limits/limit-borrower';
import { LimitLender } from '../limits/limit-lender';
import type { AttemptOutcome } from '../outcome/attempt-outcome';
import type { PeerView } from '../placement/peer-view';
import type { ServerInfo } from '../placement/server-info';
import { ServerPool } from '../placement/server-pool';
import { RetryBudget } from '../policy/retry-budget';
import { RunTimeEstimator } from '../policy/run-time-estimator';
import { Scheduler } from '../queue/scheduler';
import { countStartedTasks } from '../submission/count-started-tasks';
import type { Job } from '../submission/job';
import { JobStore } from '../submission/job-store';
import type { JobSubmission } from '../submission/job-submission';
import { findRow } from '../table/find-row';
import type { OperatorsTable } from '../table/operators-table';
import { AttemptRegistry } from './attempt-registry';
import { buildProblem } from './build-problem';
import { EffectQueue } from './effect-queue';
import { findDuplicateSubmission } from './find-duplicate-submission';
import { JobAdmitter } from './job-admitter';
import { JobFinalizer } from './job-finalizer';
import type { KernelEffect } from './kernel-effect';
import type { KernelOptions } from './kernel-options';
import { OutcomeApplier } from './outcome-applier';
import type { SubmitDecision } from './submit-decision';
import { TaskStarter } from './task-starter';

/**
 * Decides for one dispatcher which tasks start, on which backend server and when. The kernel does
 * no I/O and reads no clock: methods take the current time and queue effects, which the caller
 * fetches with `takeEffects` and carries out.
 *
 * Only the incarnation that accepted a submission starts its tasks. It starts a task again only
 * after proof that the previous attempt did not run, unless the job is an idempotent request.
 */
export class DispatchKernel {
  /** Handles loan requests from peers. */
  readonly lender: LimitLender;

  /** Receives peers' responses to loan requests; a loan is used from the next `advanceTime` on. */
  readonly borrower: LimitBorrower;

  private readonly jobs: JobStore;

  private readonly pool: ServerPool;

  private readonly scheduler: Scheduler;

  private readonly attempts: AttemptRegistry;

  private readonly effects = new EffectQueue();

  private readonly finalizer: JobFinalizer;

  private readonly applier: OutcomeApplier;

  private readonly admitter: JobAdmitter;

  private readonly starter: TaskStarter;

  private table: OperatorsTable | undefined;

  private draining = false;

  constructor(private readonly options: KernelOptions) {
    this.jobs = new JobStore(options.answerRetentionMs, options.maxAnswerBytes);
    this.pool = new ServerPool(options.placementPolicy, options.peerView);
    this.scheduler = new Scheduler(options.queuePolicy, options.domain, options.share);
    const flows = this.buildFlowSource();
    this.lender = new LimitLender(options.peerView.self, flows);
    this.borrower = new LimitBorrower(flows);
    const { jobs, pool, scheduler, effects } = this;
    const estimator = new RunTimeEstimator();
    const retryBudget = new RetryBudget();
    const attempts = new AttemptRegistry({
      pool,
      scheduler,
      estimator,
      reportEjection: (server) => effects.recordEvent('server-ejected', undefined, { server }),
    });
    const finalizer = new JobFinalizer({ jobs, scheduler, attempts, effects });
    const { domain } = options;
    this.attempts = attempts;
    this.finalizer = finalizer;
    this.applier = new OutcomeApplier({ scheduler, retryBudget, effects, finalizer });
    this.admitter = new JobAdmitter({
      domain,
      jobs,
      pool,
      scheduler,
      estimator,
      effects,
      finalizer,
    });
    this.starter = new TaskStarter({
      pool,
      scheduler,
      attempts,
      retryBudget,
      effects,
      finalizer,
    });
  }

  /** Returns the effects queued since the last call. */
  takeEffects(): KernelEffect[] {
    return this.effects.takeEffects();
  }

  /** Adopts a table if its revision is higher than the one in force. */
  adoptTable(table: OperatorsTable, nowMs: number): void {
    if (this.table !== undefined && table.revision <= this.table.revision) {
      return;
    }
    this.table = table;
    this.scheduler.adoptTable(table);
    this.effects.recordEvent('table-adopted', undefined, { revision: table.revision });
    this.startTasks(nowMs);
  }

  /** Adopts a new list of backend servers. */
  adoptServers(servers: readonly ServerInfo[], nowMs: number): void {
    this.pool.adoptServers(servers);
    this.startTasks(nowMs);
  }

  /** Adopts the list of peers in the failure domain and the slots that they use. */
  adoptPeers(peerView: PeerView, nowMs: number): void {
    this.pool.adoptPeers(peerView);
    this.borrower.adoptPeers(
      peerView.peers.map((peer) => peer.incarnation),
      nowMs,
    );
    this.startTasks(nowMs);
  }

  /** Records that a backend server reported that it is leaving. */
  markLeaving(server: ServerInfo): void {
    const found = this.pool.findServer(server.id);
    if (found !== undefined && !found.isLeaving()) {
      found.markLeaving();
      this.effects.recordEvent('server-leaving', undefined, { server: server.id });
    }
  }

  /** Refuses new submissions from now on. Accepted jobs continue. */
  beginDrain(): void {
    this.draining = true;
    this.effects.recordEvent('drain-started', undefined, {});
  }

  /**
   * Decides on a submission: accepts it, returns the existing job for a resubmission, or refuses it.
   */
  submitJob(submission: JobSubmission, ticketNumber: number, nowMs: number): SubmitDecision {
    const duplicate = findDuplicateSubmission(this.jobs, submission, ticketNumber);
    if (duplicate !== undefined) {
      return duplicate;
    }
    const { table, admitter } = this;
    if (this.draining) {
      const problem = buildProblem('draining', 'not-run', 'This dispatcher is shutting down.', 0);
      return admitter.refuseJob(submission, problem);
    }
    if (table === undefined) {
      const problem = buildProblem('not-ready', 'not-run', 'No table has been adopted yet.', 200);
      return admitter.refuseJob(submission, problem);
    }
    const decision = admitter.admitJob(submission, ticketNumber, table, nowMs);
    if (decision.type === 'accepted') {
      this.startTasks(nowMs);
    }
    return decision;
  }

  /** Finds a job; undefined if it is unknown or its answer is no longer kept. */
  findJob(id: JobId): Job | undefined {
    return this.jobs.findJob(id);
  }

  /**
   * Tells whether a submission with this ticket number was accepted, even if its answer is no
   * longer kept.
   */
  hasUsedTicket(ticketNumber: number): boolean {
    return this.jobs.hasUsedNumber(ticketNumber);
  }

  /**
   * Cancels a job unless it has ended. Tasks that have not started will not start.
   *
   * @returns how many tasks had started when the job ended
   */
  cancelJob(job: Job, nowMs: number): number {
    const started = job.startedCountAtEnd ?? countStartedTasks(job);
    if (job.result === undefined) {
      this.effects.recordEvent('job-cancelled', job.id, { started });
      this.finalizer.failJob(
        job,
        nowMs,
        'cancelled',
        `Cancelled after ${started} tasks had started.`,
      );
      this.startTasks(nowMs);
    }
    return started;
  }

  /** Applies the outcome of an attempt. A second outcome for the same attempt is ignored. */
  endAttempt(id: AttemptId, outcome: AttemptOutcome, nowMs: number): void {
    const attempt = this.attempts.endAttempt(id, outcome, nowMs);
    if (attempt === undefined) {
      return;
    }
    if (attempt.job.result === undefined) {
      this.applier.applyOutcome(attempt, outcome, nowMs);
    }
    this.startTasks(nowMs);
  }

  /**
   * Performs time-driven work: expires deadlines, reclassifies overruns, deletes old answers, sends
   * stops, starts tasks and manages limit loans.
   */
  advanceTime(nowMs: number): void {
    this.finalizer.endOverdueJobs(nowMs);
    this.attempts.markOverrunsLong(nowMs);
    this.jobs.evictEndedJobs(nowMs);
    this.attempts.takeDueStops(nowMs).forEach((attempt) => {
      this.effects.addEffects({ type: 'stop', attempt: attempt.id, server: attempt.account.info });
    });
    this.startTasks(nowMs);
    this.borrower.advanceTime(nowMs);
    this.effects.addEffects(...this.borrower.takeEffects());
  }

  /** Counts the jobs that have not ended. */
  countOpenJobs(): number {
    return this.jobs.countOpenJobs();
  }

  /** Computes the estimated run time of all waiting tasks, in milliseconds of slot time. */
  computeBacklogMs(): number {
    return this.scheduler.computeBacklogMs();
  }

  /** Returns the number of slots that this dispatcher uses on each server. */
  collectSlotUse(): ReturnType<ServerPool['collectUsedSlots']> {
    return this.pool.collectUsedSlots();
  }

  /** Tells whether a table has been adopted and at least one backend server is known. */
  isReady(): boolean {
    return this.table !== undefined && this.pool.hasServers();
  }

  /** Returns the revision of the table in force, or 0 before the first table is adopted. */
  readRevision(): number {
    return this.table?.revision ?? 0;
  }

  private buildFlowSource(): FlowSource {
    return {
      listFlows: () => this.scheduler.listFlows(),
      findFlow: ({ caller, kind }) => {
        const row = this.table && findRow(this.table, caller, kind, this.options.domain);
        return row && this.scheduler.getFlow(caller, kind, row);
      },
      readRevision: () => this.readRevision(),
    };
  }

  private startTasks(nowMs: number): void {
    this.starter.startTasks(nowMs);
  }
}
