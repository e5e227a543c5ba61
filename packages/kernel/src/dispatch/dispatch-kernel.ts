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
import { countStarted } from '../submission/count-started';
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
 * Decides for one dispatcher what to start, where and when. It has no input or output of its own:
 * each method takes the time and queues effects, which the caller fetches with `takeEffects`.
 *
 * A task of a submission is started by this incarnation or by nobody, and again only after proof
 * that the attempt before did not run.
 */
export class DispatchKernel {
  /** Answers peers that ask for parts of limits. */
  readonly lender: LimitLender;

  /** Takes the peers' answers; what they lent is used from the next `advanceTime` on. */
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
    this.pool = new ServerPool(options.placementPolicy, options.fleet);
    this.scheduler = new Scheduler(options.queuePolicy, options.domain, options.share);
    const flows = this.buildFlowSource();
    this.lender = new LimitLender(options.fleet.self, flows);
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

  /** Adopts the instance list's backend servers. */
  adoptServers(servers: readonly ServerInfo[], nowMs: number): void {
    this.pool.adoptServers(servers);
    this.startTasks(nowMs);
  }

  /** Adopts what the other dispatchers of the failure domain report. */
  adoptFleet(fleet: PeerView, nowMs: number): void {
    this.pool.adoptPeers(fleet);
    this.borrower.adoptPeers(
      fleet.peers.map((peer) => peer.incarnation),
      nowMs,
    );
    this.startTasks(nowMs);
  }

  /** Notes a backend server's own word that it is leaving. */
  markLeaving(server: ServerInfo): void {
    const found = this.pool.findServer(server.id);
    if (found !== undefined && !found.isLeaving()) {
      found.markLeaving();
      this.effects.recordEvent('server-leaving', undefined, { server: server.id });
    }
  }

  /** Refuses new submissions from now on; accepted ones go on. */
  beginDrain(): void {
    this.draining = true;
    this.effects.recordEvent('drain-started', undefined, {});
  }

  /** Accepts, recognises or refuses a submission whose ticket has this number. */
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

  /** Finds a job for its own caller; undefined if unknown or forgotten. */
  findJob(id: JobId): Job | undefined {
    return this.jobs.findJob(id);
  }

  /** Tells whether a ticket of this number was accepted, also when its answer is forgotten. */
  hasUsedTicket(ticketNumber: number): boolean {
    return this.jobs.hasUsed(ticketNumber);
  }

  /** Ends a job: tasks that have not started never start. Returns how many had started. */
  cancelJob(job: Job, nowMs: number): number {
    const started = job.startedAtEnd ?? countStarted(job);
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

  /** Takes an attempt's outcome. A second outcome of the same attempt is ignored. */
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

  /** Does what is due by time: deadlines, overruns, stops, forgetting and delayed starts. */
  advanceTime(nowMs: number): void {
    this.finalizer.endOverdueJobs(nowMs);
    this.attempts.markOverrunsLong(nowMs);
    this.jobs.forgetAnswers(nowMs);
    this.attempts.takeDueStops(nowMs).forEach((attempt) => {
      this.effects.addEffects({ type: 'stop', attempt: attempt.id, server: attempt.account.info });
    });
    this.startTasks(nowMs);
    this.borrower.advanceTime(nowMs);
    this.effects.addEffects(...this.borrower.takeEffects());
  }

  /** Jobs that have not ended. */
  countOpenJobs(): number {
    return this.jobs.countOpen();
  }

  /** Estimated waiting work in milliseconds of slot time. */
  computeBacklogMs(): number {
    return this.scheduler.computeBacklogMs();
  }

  /** Slots in use by this dispatcher, by server. */
  collectSlotUse(): ReturnType<ServerPool['collectUsedSlots']> {
    return this.pool.collectUsedSlots();
  }

  /** Tells whether a table is in force and at least one server is known. */
  isReady(): boolean {
    return this.table !== undefined && this.pool.hasServers();
  }

  /** Revision of the table in force, 0 before the first. */
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
