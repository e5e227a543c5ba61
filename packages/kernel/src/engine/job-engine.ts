import type { DomainName } from '../ids/domain-name';
import type { InstanceName } from '../ids/instance-name';
import type { JobId } from '../ids/job-id';
import type { PartId } from '../ids/part-id';
import type { ServerId } from '../ids/server-id';
import type { ServiceName } from '../ids/service-name';
import type { TaskId } from '../ids/task-id';
import { buildEngineJob } from './build-engine-job';
import { CANCEL_RETENTION_MS } from './cancel-retention-ms';
import { CancelledJobs } from './cancelled-jobs';
import { compareUrgency } from './compare-urgency';
import { computeRemainingCpuMilli } from './compute-remaining-cpu-milli';
import { CrashLedger } from './crash-ledger';
import type { CrashRecord } from './crash-record';
import type { EngineEffect } from './engine-effect';
import type { EngineJob } from './engine-job';
import type { EngineRun } from './engine-run';
import type { EngineServer } from './engine-server';
import type { EngineTask } from './engine-task';
import { hasRoomForJob } from './has-room-for-job';
import { holdTasks } from './hold-tasks';
import { isNewAttempt } from './is-new-attempt';
import { OverloadControl } from './overload-control';
import { parseJobIdOfTask } from './parse-job-id-of-task';
import { CompletedTaskCache } from './completed-task-cache';
import type { EngineSubmission } from './engine-submission';
import { defaultJobLimits } from './default-job-limits';
import type { JobOutcome } from './job-outcome';
import type { LocalityOptions } from './locality-options';
import { LocalityPlacement } from './locality-placement';
import type { LocalityReport } from './locality-report';
import type { RememberedOutcome } from './remembered-outcome';
import type { PoolLoad } from './pool-load';
import type { RankedJob } from './ranked-job';
import { RecentOutcomes } from './recent-outcomes';
import type { EvacuatedJobs } from './evacuated-jobs';
import type { RunEnd } from './run-end';
import type { RunIsolation } from './run-isolation';
import type { RefusalSummary } from './refusal-summary';
import { RunScheduler } from './run-scheduler';
import { StepRunTimeEstimator } from './step-run-time-estimator';
import { ServerFleet } from './server-fleet';
import type { StopReason } from './stop-reason';
import { UrgencyHeap } from './urgency-heap';

/** How long outcomes are kept to answer jobs sent again; several times the interval of resends. */
const OUTCOME_RETENTION_MS = 10_000;
/** Retry delay that the caller of a refused job is told where queues have no priorities. */
const RETRY_AFTER_MS = 1_000;
/** Reason for refusing or abandoning a job that no server has capacity for in useful time. */
const NO_CAPACITY_REASON = 'no room in time';
/** Reason for refusing or abandoning a job all of whose servers are in closed failure domains. */
const CLOSED_REASON = 'all failure domains with servers for the job are closed';
/** Reason for refusing a job because the open ones have as many tasks as a leader can handle. */
const TOO_MANY_TASKS_REASON = 'too many tasks are open';
/** Reason for refusing a job that no server is expected to have capacity for in useful time. */
const NO_CAPACITY_EXPECTED_REASON = 'no room expected in time';
/**
 * Minimum interval between checks for jobs to refuse or abandon. Without free capacity, jobs are
 * ranked only at these checks.
 */
const REFUSAL_CHECK_INTERVAL_MS = 20;
/** Expected duration of a run that another leader started. */
const ADOPTED_RUN_EXPECTED_MS = 500;

/** Records a run as the one in progress for its task. */
function attachRun(job: EngineJob, task: EngineTask, run: EngineRun): void {
  task.state = 'running';
  task.current = run;
  run.isUnclaimed = false;
  task.lastRunNumber = Math.max(task.lastRunNumber, run.run);
  job.runningTasks += 1;
  job.hasStarted = true;
}

/**
 * Runs jobs on one pool of backend servers. Performs no I/O: the time and the servers' answers are
 * passed in as arguments, and orders are returned as effects. A task has at most one run in
 * progress, and a run holds its resources until it is known to have ended.
 */
export class JobEngine {
  readonly fleet = new ServerFleet();

  readonly runTimes = new StepRunTimeEstimator();

  private readonly jobs = new Map<JobId, EngineJob>();

  private readonly outcomes = new RecentOutcomes(OUTCOME_RETENTION_MS);

  /** Cancellations of jobs that existed, here or elsewhere; kept longer than outcomes. */
  private readonly cancelledJobs = new CancelledJobs(CANCEL_RETENTION_MS);

  private readonly crashes = new CrashLedger();

  private readonly scheduler: RunScheduler;

  /** Undefined if run times are the same on all servers, as far as the settings tell. */
  private readonly locality: LocalityPlacement | undefined;

  private readonly overload = new OverloadControl(this.fleet, this.runTimes);

  private readonly completedTasks = new CompletedTaskCache(OUTCOME_RETENTION_MS);

  private effects: EngineEffect[] = [];

  private nextRefusalCheckMs = 0;

  private readonly silentOwners = new Set<InstanceName>();

  private closedDomains: ReadonlySet<DomainName> = new Set();

  private areStartsSuspended = false;

  /**
   * @param adoptsRuns - whether runs found on servers are attached to their jobs; false if another
   *   leader may be waiting for their leases to expire
   * @param locality - undefined if the settings do not tell how run times differ between servers
   * @param maxOpenItems - largest number of items of open jobs; `JobLimits` tells what counts
   */
  constructor(
    private readonly adoptsRuns = true,
    locality?: LocalityOptions,
    private readonly maxOpenItems = defaultJobLimits.maxOpenItems,
  ) {
    this.locality =
      locality === undefined || locality.remoteFactor === 1
        ? undefined
        : new LocalityPlacement(this.fleet, this.runTimes, locality);
    this.scheduler = new RunScheduler(this.fleet, this.crashes, this.locality);
  }

  /** Number of open jobs. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /** Finds the instance that waits for the job of a task. */
  findOwner(task: TaskId): InstanceName | undefined {
    return this.jobs.get(parseJobIdOfTask(task))?.owner;
  }

  /**
   * Sets the failure domains that are evacuated. Nothing more starts on their servers, and these are no spare
   * capacity. Runs in progress go on.
   */
  setClosedDomains(domains: ReadonlySet<DomainName>): void {
    this.closedDomains = domains;
    this.fleet.setClosedDomains(domains);
    this.jobs.forEach((job) => {
      job.isStranded = this.isStrandedNow(job);
    });
  }

  /** Starts nothing, on any server, while it is not known which failure domains are closed. */
  setStartsSuspended(isSuspended: boolean): void {
    this.areStartsSuspended = isSuspended;
  }

  /** Returns the effects since the last call and clears them. */
  takeEffects(): EngineEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /**
   * Accepts a job. If the job is open already, the submitting instance becomes its owner; if it has
   * ended, the instance gets the outcome, unless the job may run again.
   */
  submitJob(submission: EngineSubmission, nowMs: number): void {
    const { spec, owner } = submission;
    submission.crashes.forEach((record) => this.mergeCrash(record, nowMs));
    const known = this.jobs.get(spec.id);
    if (known !== undefined) {
      const mayHaveStarted = submission.isResumed && submission.isUnstarted !== true;
      // The job may have been at the leader of a failure domain that was cut off since this leader has it, and a
      // copy that another instance resumes comes from an earlier leader.
      if (mayHaveStarted && (submission.mayRunOnUnknownServers || known.owner !== owner)) {
        known.hasStarted = true;
        known.mayRunOnUnknownServers ||= submission.mayRunOnUnknownServers;
        holdTasks(known, nowMs + submission.priorRunsExpireInMs);
      }
      known.owner = owner;
      known.isUnlisted = false;
      this.reportDoneTasks(known, submission.doneTasks);
      this.completeTasks(known, submission.doneTasks, nowMs);
      this.failCrashingJob(known, nowMs);
      return;
    }
    const outcome = this.outcomes.findOutcome(spec.id);
    const isCancelled = this.cancelledJobs.hasJob(spec.id, nowMs);
    if (outcome !== undefined && (isCancelled || !isNewAttempt(outcome, submission))) {
      this.repeatOutcome(spec.id, owner, outcome, nowMs);
      return;
    }
    if (isCancelled) {
      this.repeatOutcome(spec.id, owner, { kind: 'cancelled' }, nowMs);
      return;
    }
    const reportedTasks = this.completedTasks.takeTasks(spec.id);
    const doneTasks = new Set([...submission.doneTasks, ...reportedTasks]);
    if (!hasRoomForJob(this.jobs.values(), { ...submission, doneTasks }, this.maxOpenItems)) {
      const retryAfterMs = RETRY_AFTER_MS;
      const refusal = { kind: 'not-run', reason: TOO_MANY_TASKS_REASON, retryAfterMs } as const;
      this.repeatOutcome(spec.id, owner, refusal, nowMs);
      return;
    }
    const job = buildEngineJob({ ...submission, doneTasks }, nowMs);
    this.jobs.set(spec.id, job);
    this.overload.recordArrival(job, nowMs);
    this.adoptRuns(job);
    job.isStranded = this.isStrandedNow(job);
    if (job.remainingTasks === 0) {
      this.endJob(job, { kind: 'completed' }, nowMs);
      return;
    }
    this.reportDoneTasks(job, submission.doneTasks);
    if (!this.failCrashingJob(job, nowMs) && !job.hasStarted && !this.canEverRun(job)) {
      this.refuseJob(job, 'no server has the capacity or the label', nowMs, true);
    }
  }

  /**
   * Cancels a job: stops its runs and starts no more of them, also if it is submitted later. Returns
   * whether the job is known here.
   *
   * @param isKnown - whether the job is known elsewhere. Otherwise a job that is unknown here may still be
   *   submitted for the first time, since its caller has been told that there was no such job
   */
  cancelJob(id: JobId, reason: StopReason, nowMs: number, isKnown = false): boolean {
    const job = this.jobs.get(id);
    if (job !== undefined) {
      this.endJob(job, { kind: 'cancelled' }, nowMs, reason);
    }
    const isKnownHere = job !== undefined || this.cancelAbsentJob(id, isKnown, nowMs);
    if (isKnown || isKnownHere) {
      this.cancelledJobs.addJob(id, nowMs);
    }
    return isKnownHere;
  }

  /**
   * Lists the open jobs, by owner, of which certainly nothing has started. Before the owner has submitted a
   * job on its present link, the leader of a failure domain that was cut off may have started it.
   */
  listUnstartedJobs(): ReadonlyMap<InstanceName, JobId[]> {
    const unstarted = new Map<InstanceName, JobId[]>();
    this.jobs.forEach(({ spec, owner, isUnlisted, hasStarted }) => {
      if (owner !== undefined && !isUnlisted && !hasStarted) {
        unstarted.set(owner, [...(unstarted.get(owner) ?? []), spec.id]);
      }
    });
    return unstarted;
  }

  /** Ends the jobs that a lost instance owns. */
  dropOwner(owner: InstanceName, nowMs: number): void {
    [...this.jobs.values()]
      .filter((job) => job.owner === owner)
      .forEach((job) => this.dropJob(job, 'the instance that had taken the job was lost', nowMs));
  }

  /**
   * Marks the jobs of an instance that has opened its link again: no task of them starts until the
   * instance has submitted them on it.
   */
  markJobsUnlisted(owner: InstanceName): void {
    this.jobs.forEach((job) => {
      if (job.owner === owner) {
        job.isUnlisted = true;
      }
    });
  }

  /** Ends the jobs that an instance has not submitted on its present link; returns their ids. */
  dropUnlistedJobs(owner: InstanceName, nowMs: number): JobId[] {
    const unlisted = [...this.jobs.values()].filter((job) => job.owner === owner && job.isUnlisted);
    unlisted.forEach((job) => this.dropJob(job, 'its caller left', nowMs));
    return unlisted.map(({ spec }) => spec.id);
  }

  /**
   * Ends a job for which no caller waits any more (disconnected, timed out or answered), unless
   * another instance owns the job now.
   */
  dropCaller(id: JobId, owner: InstanceName, nowMs: number): void {
    const job = this.jobs.get(id);
    if (job?.owner === owner) {
      this.dropJob(job, 'its caller left', nowMs);
    }
  }

  /**
   * Records whether an instance is silent. It may have submitted its jobs to another leader, so no
   * task of them starts until the instance is heard from again.
   */
  setOwnerSilent(owner: InstanceName, isSilent: boolean): void {
    if (isSilent) {
      this.silentOwners.add(owner);
    } else {
      this.silentOwners.delete(owner);
    }
  }

  /** Records that the server has answered an order to start or stop a run. */
  confirmOrder(serverId: ServerId, task: TaskId, run: number, nowMs: number): void {
    const known = this.findRun(serverId, task, run);
    if (known !== undefined) {
      known.answeredAtMs = nowMs;
      if (known.state === 'starting') {
        known.state = 'running';
        known.wasSeen = true;
      }
    }
  }

  /** Handles a start order that got no answer: stops the run before the task may start again. */
  handleUnansweredStart(serverId: ServerId, task: TaskId, run: number, nowMs: number): void {
    const server = this.fleet.findServer(serverId);
    const known = this.findRun(serverId, task, run);
    if (server !== undefined && known !== undefined) {
      server.recordFailure(nowMs);
      if (server.state === 'unconfirmed') {
        // The silence was recorded while it was open whether the run would begin.
        this.recordUnconfirmedCrash(server, known, nowMs);
      }
      this.stopRun(known, 'no-answer');
    }
  }

  /**
   * Handles a start order that was refused or did not reach the server: the run did not begin and
   * never will.
   */
  handleRefusedStart(serverId: ServerId, task: TaskId, run: number, nowMs: number): void {
    this.fleet.findServer(serverId)?.recordFailure(nowMs);
    this.endRun(serverId, task, run, 'lost', nowMs);
  }

  /**
   * Lets tasks of resumed jobs start, once all known servers have listed their runs. Jobs that may
   * have runs on unknown servers stay blocked.
   */
  releaseBlockedTasks(): void {
    this.jobs.forEach((job) => {
      if (job.mayRunOnUnknownServers) {
        return;
      }
      job.tasks.forEach((task) => {
        task.blockedUntilMs = 0;
      });
    });
  }

  /** Records the end of a run. Returns false if the run is not known. */
  endRun(serverId: ServerId, taskId: TaskId, run: number, runEnd: RunEnd, nowMs: number): boolean {
    const server = this.fleet.findServer(serverId);
    const known = this.findRun(serverId, taskId, run);
    if (server === undefined || known === undefined) {
      if (runEnd === 'done') {
        this.recordDoneTask(taskId, run, nowMs);
      }
      return false;
    }
    if (runEnd === 'unreachable' || runEnd === 'crashed') {
      this.recordCrash(server, known, runEnd === 'crashed', nowMs);
    }
    server.dropRun(known);
    const job = this.jobs.get(parseJobIdOfTask(taskId));
    const task = job?.tasks.find((candidate) => candidate.current === known);
    if (job !== undefined && task !== undefined) {
      this.handleRunEnd(job, task, server, known, runEnd, nowMs);
    } else if (runEnd === 'done') {
      this.recordDoneTask(taskId, run, nowMs);
    }
    return true;
  }

  /** Records that a run that is attached to no open job, maybe of an earlier leader, completed a task. */
  recordDoneTask(taskId: TaskId, run: number, nowMs: number): void {
    const jobId = parseJobIdOfTask(taskId);
    const job = this.jobs.get(jobId);
    const task = job?.tasks.find(({ id }) => id === taskId);
    if (job === undefined) {
      this.completedTasks.addTask(jobId, taskId, nowMs);
    } else if (task !== undefined && task.state !== 'done') {
      this.completeTaskElsewhere(job, task, run, nowMs);
    }
  }

  /**
   * Records that a server has left a call unanswered. The instances that own the jobs of its runs are
   * told, as this leader may end before it is known whether the server has crashed. A run whose start is
   * not answered yet counts only if that stays unanswered: the server may have been gone before.
   */
  recordSilence(serverId: ServerId, nowMs: number): void {
    const server = this.fleet.findServer(serverId);
    server?.runs.forEach((run) => {
      if (run.state !== 'starting') {
        this.recordUnconfirmedCrash(server, run, nowMs);
      }
    });
  }

  /**
   * Decides whether a server had crashed, by the life of it that has answered; call it once lost runs are ended.
   *
   * @param startedAtMs - undefined if the earlier life is taken to have ended
   * @param listedTasks - the tasks of all runs and ends that the answer lists
   */
  resolveServer(
    serverId: ServerId,
    startedAtMs: number | undefined,
    nowMs: number,
    listedTasks: readonly TaskId[] = [],
  ): void {
    const heldTasks = this.fleet.findServer(serverId)?.listStartedTasks() ?? [];
    const tasks = [...listedTasks, ...heldTasks];
    const { jobs, clearedTasks } = this.crashes.resolveServer(serverId, startedAtMs, tasks);
    if (jobs.size > 0) {
      this.effects.push({ kind: 'report-life', serverId, startedAtMs, clearedTasks });
    }
    [...jobs]
      .flatMap((id) => this.jobs.get(id) ?? [])
      .forEach((job) => this.failCrashingJob(job, nowMs));
  }

  /**
   * Adds a run that a server reports and this engine did not start. It holds its resources; without
   * an open job they are unknown, and the run is taken to hold the whole server.
   */
  adoptRun(server: EngineServer, task: TaskId, run: number, nowMs: number): void {
    const job = this.jobs.get(parseJobIdOfTask(task));
    const ownTask = job?.tasks.find((candidate) => candidate.id === task);
    const step = ownTask === undefined ? undefined : job!.spec.steps[ownTask.step];
    const adopted: EngineRun = {
      task,
      run,
      serverId: server.report.id,
      demand: step?.demand ?? { ...server.report.capacity },
      startedAtMs: nowMs,
      expectedMs: ADOPTED_RUN_EXPECTED_MS,
      state: 'running',
      answeredAtMs: nowMs,
      isUnclaimed: true,
      isAdopted: true,
      isolation: 'none',
      percent: 0,
      lifeStartedAtMs: server.lifeStartedAtMs,
    };
    server.addRun(adopted);
    if (!this.adoptsRuns || job === undefined || ownTask === undefined) {
      return;
    }
    if (ownTask.state === 'waiting') {
      attachRun(job, ownTask, adopted);
    } else {
      this.stopRun(adopted, 'unclaimed');
    }
  }

  /**
   * Stops the runs that were found on servers and are not attached to a task of an open job.
   */
  stopUnclaimedRuns(): void {
    [...this.fleet.listServers()].forEach((server) => {
      server.runs.forEach((run) => {
        if (run.state !== 'stopping' && run.isUnclaimed) {
          this.stopRun(run, 'unclaimed');
        }
      });
    });
  }

  /** Refuses jobs that cannot end in useful time and starts the tasks that fit on a server. */
  schedule(nowMs: number): void {
    const { waiting, smallestDemands } = this.listWaitingJobs();
    if (waiting.length === 0) {
      return;
    }
    this.fleet.applyColdLimits(nowMs);
    const isRefusalDue = nowMs >= this.nextRefusalCheckMs;
    const smallestMilli = Math.min(...smallestDemands.values());
    if (
      !isRefusalDue &&
      (this.areStartsSuspended || !this.scheduler.hasFreeCapacity(smallestMilli, nowMs))
    ) {
      return;
    }
    const ranked = waiting.map((job) => ({
      job,
      urgency: this.overload.computeUrgency(job, nowMs),
    }));
    if (!isRefusalDue) {
      this.startTasks(new UrgencyHeap(ranked), smallestDemands, nowMs);
      return;
    }
    this.nextRefusalCheckMs = nowMs + REFUSAL_CHECK_INTERVAL_MS;
    ranked.sort((a, b) => compareUrgency(a.urgency, b.urgency));
    ranked.forEach(({ job, urgency }) => {
      if (urgency.band === 2 && !job.hasStarted) {
        this.refuseForCapacity(job, NO_CAPACITY_REASON, 0, nowMs);
      }
    });
    const open = ranked.filter(({ job }) => this.jobs.has(job.spec.id));
    if (!this.areStartsSuspended) {
      this.startTasks(open, smallestDemands, nowMs);
      smallestDemands.forEach((_demand, service) => this.refuseHopelessJobs(service, open, nowMs));
    }
    open.forEach(({ job, urgency }) => {
      if (urgency.band === 2 && job.runningTasks === 0) {
        // The placement above found no server for the remaining tasks.
        this.endJob(job, { kind: 'abandoned', reason: NO_CAPACITY_REASON }, nowMs);
      }
    });
  }

  /**
   * Sends waiting jobs on to other parts. Only jobs of which certainly nothing has started move.
   *
   * @param takeCapacity - reserves capacity at another part; undefined if no part has enough
   */
  moveWaitingJobs(takeCapacity: (cpuMilli: number) => PartId | undefined, nowMs: number): void {
    this.jobs.forEach((job) => {
      const { owner } = job;
      if (job.hasStarted || !job.isMovable || owner === undefined || this.isOwnerUnheard(job)) {
        return;
      }
      if (job.tasks.some(({ wait }) => wait?.isGivenUp === false && nowMs < wait.untilMs)) {
        // The job could start here and waits for a better place, which another part does not have.
        return;
      }
      const part = takeCapacity(computeRemainingCpuMilli(job));
      job.wasOffered = true;
      if (part !== undefined) {
        this.overload.recordMove(job, nowMs);
        this.moveJob(job, owner, part, nowMs);
      }
    });
  }

  /**
   * Moves jobs away that no server outside the closed failure domains could ever run, those included that were
   * moved here. Only jobs of which certainly nothing has started move; they are refused if there is no other
   * part. Of the started ones, those are abandoned that have no run left.
   *
   * @param choosePart - chooses an open part for a job; undefined if there is none
   */
  moveStrandedJobs(
    choosePart: (id: JobId, cpuMilli: number) => PartId | undefined,
    nowMs: number,
  ): EvacuatedJobs {
    const moved: JobId[] = [];
    const refused: JobId[] = [];
    const abandoned: JobId[] = [];
    if (this.closedDomains.size > 0) {
      this.jobs.forEach((job) => {
        const { owner } = job;
        if (!job.isStranded || owner === undefined || this.isOwnerUnheard(job)) {
          return;
        }
        // Servers may have come since.
        job.isStranded = this.isStrandedNow(job);
        const { id } = job.spec;
        if (!job.isStranded) {
          return;
        }
        if (!job.hasStarted) {
          const part = choosePart(id, computeRemainingCpuMilli(job));
          if (part === undefined) {
            refused.push(id);
            this.refuseJob(job, CLOSED_REASON, nowMs);
          } else {
            moved.push(id);
            this.moveJob(job, owner, part, nowMs);
          }
        } else if (
          job.runningTasks === 0 &&
          // Runs of an earlier leader may still be in progress.
          job.tasks.every(
            ({ state, blockedUntilMs }) => state === 'done' || blockedUntilMs <= nowMs,
          )
        ) {
          abandoned.push(id);
          this.endJob(job, { kind: 'abandoned', reason: CLOSED_REASON }, nowMs);
        }
      });
    }
    return { moved, refused, abandoned };
  }

  /** Returns the waits for better places since the last call; undefined without the feature. */
  takeLocalityReport(): LocalityReport | undefined {
    return this.locality?.takeReport();
  }

  /** Returns the refusals for lack of capacity since the last call where queues have priorities. */
  takeRefusals(): RefusalSummary[] {
    return this.overload.takeRefusals();
  }

  /** Returns whether any task waits for a server. */
  hasWaitingTasks(): boolean {
    return [...this.jobs.values()].some((job) => job.remainingTasks > job.runningTasks);
  }

  /** Computes the CPU capacity that the waiting tasks need, in thousandths of a core. */
  computeWaitingCpuMilli(): number {
    let waitingMilli = 0;
    this.jobs.forEach((job) => {
      if (job.remainingTasks > job.runningTasks) {
        const share = (job.remainingTasks - job.runningTasks) / job.remainingTasks;
        waitingMilli += share * computeRemainingCpuMilli(job);
      }
    });
    return waitingMilli;
  }

  /** Counts the jobs of a queue that have not started. */
  countPending(queue: string): number {
    return [...this.jobs.values()].filter((job) => job.spec.queue.name === queue && !job.hasStarted)
      .length;
  }

  /** Counts the work and the servers of the pool. */
  computeLoad(): PoolLoad {
    let waitingTasks = 0;
    this.jobs.forEach((job) => {
      waitingTasks += job.remainingTasks - job.runningTasks;
    });
    return { openJobs: this.jobs.size, waitingTasks, ...this.fleet.computeUse() };
  }

  /** Lists the jobs with tasks that wait for a server, and their smallest CPU demand by service. */
  private listWaitingJobs(): {
    readonly waiting: EngineJob[];
    readonly smallestDemands: Map<ServiceName, number>;
  } {
    const waiting: EngineJob[] = [];
    const smallestDemands = new Map<ServiceName, number>();
    this.jobs.forEach((job) => {
      if (job.remainingTasks > job.runningTasks && !this.isOwnerUnheard(job)) {
        waiting.push(job);
        const { service } = job.spec.queue;
        if (job.smallestDemandMilli < (smallestDemands.get(service) ?? Infinity)) {
          smallestDemands.set(service, job.smallestDemandMilli);
        }
      }
    });
    return { waiting, smallestDemands };
  }

  private startTasks(
    ranked: Iterable<RankedJob>,
    smallestDemands: ReadonlyMap<ServiceName, number>,
    nowMs: number,
  ): void {
    this.scheduler.placeTasks(ranked, smallestDemands, nowMs, (placement) => {
      const { job, task, server, isolation } = placement;
      this.startRun(job, task, server, isolation, nowMs);
    });
  }

  /** Cancels a job that is not open; returns whether it was open before. */
  private cancelAbsentJob(id: JobId, isKnown: boolean, nowMs: number): boolean {
    const outcome = this.outcomes.findOutcome(id);
    switch (outcome?.kind) {
      case undefined:
      case 'cancelled-early': {
        const kind = isKnown ? 'cancelled' : 'cancelled-early';
        this.outcomes.recordOutcome(id, { kind }, nowMs);
        return this.cancelledJobs.hasJob(id, nowMs);
      }
      case 'moved':
        // Only the owner knows whether the other part has the job yet.
        this.effects.push({
          kind: 'end-job',
          owner: outcome.owner,
          jobId: id,
          outcome: { kind: 'cancelled' },
        });
        this.outcomes.recordOutcome(id, { kind: 'cancelled' }, nowMs);
        return true;
      case 'not-run':
      case 'unknown':
        // The job may be submitted again; it must not start then.
        this.outcomes.recordOutcome(id, { kind: 'cancelled' }, nowMs);
        return true;
      default:
        return true;
    }
  }

  /** Tells the owner of another copy of a job how the job has ended here. */
  private repeatOutcome(
    jobId: JobId,
    owner: InstanceName,
    outcome: RememberedOutcome,
    nowMs: number,
  ): void {
    switch (outcome.kind) {
      case 'moved':
        this.outcomes.recordOutcome(jobId, { ...outcome, owner }, nowMs);
        this.effects.push({
          kind: 'move-job',
          owner,
          jobId,
          part: outcome.part,
          wasMovedBefore: true,
        });
        return;
      case 'cancelled-early':
        this.effects.push({ kind: 'end-job', owner, jobId, outcome: { kind: 'cancelled' } });
        return;
      default:
        this.effects.push({ kind: 'end-job', owner, jobId, outcome });
    }
  }

  /** Has the owner of a job, of which nothing has started here, submit it to another part. */
  private moveJob(job: EngineJob, owner: InstanceName, part: PartId, nowMs: number): void {
    const { id } = job.spec;
    const moveCount = job.moveCount + 1;
    this.jobs.delete(id);
    this.outcomes.recordOutcome(id, { kind: 'moved', part, owner, moveCount }, nowMs);
    this.effects.push({ kind: 'move-job', owner, jobId: id, part, wasMovedBefore: false });
  }

  private startRun(
    job: EngineJob,
    task: EngineTask,
    server: EngineServer,
    isolation: RunIsolation,
    nowMs: number,
  ): void {
    const step = job.spec.steps[task.step]!;
    const run: EngineRun = {
      task: task.id,
      run: task.lastRunNumber + 1,
      serverId: server.report.id,
      demand: step.demand,
      startedAtMs: nowMs,
      expectedMs:
        this.locality?.estimateRunMs(job, task, server) ??
        this.runTimes.estimateRunMs(job.spec.queue.name, task.step, step.estimatedMs),
      state: 'starting',
      answeredAtMs: undefined,
      isUnclaimed: false,
      isolation,
      percent: 0,
      lifeStartedAtMs: server.lifeStartedAtMs,
    };
    server.addRun(run);
    server.recordStart();
    if (!job.hasStarted) {
      this.overload.recordStart(job, nowMs);
    }
    attachRun(job, task, run);
    this.locality?.recordStart(server, run, task);
    this.effects.push({
      kind: 'start-run',
      serverId: run.serverId,
      task: run.task,
      run: run.run,
      jobId: job.spec.id,
      specification: job.spec.specification,
    });
  }

  private handleRunEnd(
    job: EngineJob,
    task: EngineTask,
    server: EngineServer,
    run: EngineRun,
    runEnd: RunEnd,
    nowMs: number,
  ): void {
    task.current = undefined;
    task.state = 'waiting';
    job.runningTasks -= 1;
    if (runEnd !== 'done') {
      task.wait = undefined;
    }
    const step = job.spec.steps[task.step]!;
    switch (runEnd) {
      case 'done': {
        const { name } = job.spec.queue;
        const durationMs =
          this.locality?.recordRun(job, task, server, run, nowMs) ?? nowMs - run.startedAtMs;
        server.recordSuccess(
          durationMs / this.runTimes.estimateRunMs(name, task.step, step.estimatedMs),
        );
        this.runTimes.recordRun(name, task.step, durationMs);
        job.longestRunMsByStep[task.step] = Math.max(
          job.longestRunMsByStep[task.step]!,
          durationMs,
        );
        this.completeTask(job, task, run.run, nowMs);
        return;
      }
      case 'failed':
        server.recordFailure(nowMs);
        task.failures += 1;
        task.avoidedServers.add(run.serverId);
        if (task.failures >= job.spec.queue.maxAttempts) {
          this.endJob(job, { kind: 'failed', reason: `task ${task.id} failed` }, nowMs);
        }
        return;
      case 'stopped':
      case 'lost':
        task.avoidedServers.add(run.serverId);
        return;
      case 'unreachable':
      case 'crashed':
        task.avoidedServers.add(run.serverId);
        this.failCrashingJob(job, nowMs);
        return;
      default:
        runEnd satisfies never;
    }
  }

  /** Records that a server fell silent under a task, and tells the owner of its job if there is one. */
  private recordUnconfirmedCrash(server: EngineServer, run: EngineRun, nowMs: number): void {
    const owner = this.findOwner(run.task);
    if (owner !== undefined) {
      this.recordCrash(server, run, false, nowMs, owner);
    }
  }

  /** Records that a server crashed or fell silent under a task, unless it was about to leave anyway. */
  private recordCrash(
    { report }: EngineServer,
    { task, lifeStartedAtMs: serverStartedAtMs, wasSeen, isAdopted }: EngineRun,
    isConfirmed: boolean,
    nowMs: number,
    owner?: InstanceName,
  ): void {
    if (!report.isDraining) {
      const isUnseen = wasSeen !== true && isAdopted !== true;
      const record = { task, serverId: report.id, serverStartedAtMs, isConfirmed, isUnseen };
      this.crashes.addRecord(record, nowMs);
      this.effects.push({ kind: 'report-crash', record, owner });
    }
  }

  /** Adds a record that an earlier leader has made, and decides on it if the server has answered since. */
  private mergeCrash(record: CrashRecord, nowMs: number): void {
    this.crashes.addRecord(record, nowMs);
    const server = this.fleet.findServer(record.serverId);
    if (server?.state === 'usable' && record.serverStartedAtMs <= server.lifeStartedAtMs) {
      const { lifeStartedAtMs } = server;
      this.crashes.resolveServer(server.report.id, lifeStartedAtMs, server.listStartedTasks());
    }
  }

  /** Ends a job of which a task has crashed too many servers; returns whether it has. */
  private failCrashingJob(job: EngineJob, nowMs: number): boolean {
    const outcome = this.crashes.findFatalOutcome(job);
    if (outcome !== undefined) {
      this.endJob(job, outcome, nowMs);
    }
    return outcome !== undefined;
  }

  private completeTask(job: EngineJob, task: EngineTask, run: number, nowMs: number): void {
    task.state = 'done';
    job.remainingByStep[task.step]! -= 1;
    job.remainingTasks -= 1;
    const longestMs = job.longestRunMsByStep[task.step]!;
    if (job.remainingByStep[task.step] === 0 && longestMs > 0) {
      this.runTimes.recordLongestRun(job.spec.queue.name, task.step, longestMs);
    }
    if (job.remainingTasks === 0) {
      this.endJob(job, { kind: 'completed' }, nowMs);
    } else {
      this.reportDoneTask(job, task, run);
    }
  }

  /** Tells the owner of a job that a task is done; the next leader learns it from there. */
  private reportDoneTask({ owner, spec }: EngineJob, { id: task }: EngineTask, run: number): void {
    if (owner !== undefined) {
      this.effects.push({ kind: 'report-done', owner, jobId: spec.id, task, run });
    }
  }

  /** Reports the done tasks that the owner of a job has not submitted as done. */
  private reportDoneTasks(job: EngineJob, submittedTasks: ReadonlySet<TaskId>): void {
    job.tasks
      .filter(({ id, state }) => state === 'done' && !submittedTasks.has(id))
      .forEach((task) => this.reportDoneTask(job, task, task.lastRunNumber));
  }

  /** Completes a task by another run than its present one, if it has any, which has nothing left to do. */
  private completeTaskElsewhere(
    job: EngineJob,
    task: EngineTask,
    run: number,
    nowMs: number,
  ): void {
    const { current } = task;
    if (current !== undefined) {
      task.current = undefined;
      job.runningTasks -= 1;
      if (current.state !== 'stopping') {
        this.stopRun(current, 'task-done');
      }
    }
    job.hasStarted = true;
    this.completeTask(job, task, run, nowMs);
  }

  /** Completes those of the given tasks that are not done here; another leader has had them run. */
  private completeTasks(job: EngineJob, doneTasks: ReadonlySet<TaskId>, nowMs: number): void {
    job.tasks
      .filter(({ id, state }) => state !== 'done' && doneTasks.has(id))
      .forEach((task) => this.completeTaskElsewhere(job, task, task.lastRunNumber, nowMs));
  }

  /**
   * Refuses the jobs of a service that are predicted to end too late. A job that another part may take is
   * offered to it first.
   */
  private refuseHopelessJobs(
    service: ServiceName,
    ranked: readonly RankedJob[],
    nowMs: number,
  ): void {
    if (!this.overload.isActive(service, nowMs)) {
      return;
    }
    const waiting = ranked.filter(
      ({ job }) => job.spec.queue.service === service && job.remainingTasks > job.runningTasks,
    );
    this.overload.chooseRefusals(service, waiting, nowMs).forEach(({ job, startInMs }) => {
      if (!job.isMovable || job.wasOffered) {
        this.refuseForCapacity(job, NO_CAPACITY_EXPECTED_REASON, startInMs, nowMs);
      }
    });
  }

  /** Refuses a job for lack of capacity, which is expected after `startInMs` milliseconds. */
  private refuseForCapacity(
    job: EngineJob,
    reason: string,
    startInMs: number,
    nowMs: number,
  ): void {
    const retryAfterMs = this.overload.isActive(job.spec.queue.service, nowMs)
      ? this.overload.recordRefusal(job, reason, startInMs, nowMs)
      : RETRY_AFTER_MS;
    this.refuseJob(job, reason, nowMs, false, retryAfterMs);
  }

  private refuseJob(
    job: EngineJob,
    reason: string,
    nowMs: number,
    isUnservable = false,
    retryAfterMs = RETRY_AFTER_MS,
  ): void {
    const outcome = {
      kind: 'not-run',
      reason,
      retryAfterMs,
      isUnservable,
    } as const;
    this.endJob(job, outcome, nowMs);
  }

  private endJob(
    job: EngineJob,
    outcome: JobOutcome,
    nowMs: number,
    reason: StopReason = 'job-ended',
  ): void {
    this.closeJob(job, reason);
    this.outcomes.recordOutcome(job.spec.id, outcome, nowMs);
    this.effects.push({ kind: 'end-job', owner: job.owner, jobId: job.spec.id, outcome });
  }

  /**
   * Ends a job that no caller waits for. If it is submitted again, the tasks that are not done start anew
   * once its runs have ended.
   */
  private dropJob(job: EngineJob, reason: string, nowMs: number): void {
    job.tasks
      .filter(({ state }) => state === 'done')
      .forEach(({ id }) => this.completedTasks.addTask(job.spec.id, id, nowMs));
    this.closeJob(job, 'unclaimed');
    this.outcomes.recordOutcome(job.spec.id, { kind: 'unknown', reason }, nowMs);
  }

  private closeJob(job: EngineJob, reason: StopReason): void {
    this.jobs.delete(job.spec.id);
    job.tasks.forEach((task) => {
      const { current } = task;
      if (current !== undefined && current.state !== 'stopping') {
        this.stopRun(current, reason);
      }
    });
  }

  private stopRun(run: EngineRun, reason: StopReason): void {
    run.state = 'stopping';
    run.answeredAtMs = undefined;
    const { serverId, task, run: number } = run;
    this.effects.push({ kind: 'stop-run', serverId, task, run: number, reason });
  }

  private adoptRuns(job: EngineJob): void {
    if (!this.adoptsRuns) {
      return;
    }
    const byId = new Map(job.tasks.map((task) => [task.id, task]));
    this.fleet.listServersOfService(job.spec.queue.service).forEach((server) => {
      server.runs.forEach((run) => {
        const task = byId.get(run.task);
        if (task?.state === 'waiting') {
          attachRun(job, task, run);
        }
      });
    });
  }

  /** Returns whether the caller of a job may have left, or the job may be at another leader by now. */
  private isOwnerUnheard({ owner, isUnlisted }: EngineJob): boolean {
    return isUnlisted || (owner !== undefined && this.silentOwners.has(owner));
  }

  private canEverRun(job: EngineJob): boolean {
    const { service } = job.spec.queue;
    return job.spec.steps.every((step) =>
      this.fleet.canEverRun(service, step.demand, step.requiredLabel),
    );
  }

  private isStrandedNow({ spec: { queue, steps } }: EngineJob): boolean {
    return (
      this.closedDomains.size > 0 &&
      !steps.every(({ demand, requiredLabel }) =>
        this.fleet.canEverRun(queue.service, demand, requiredLabel, true),
      )
    );
  }

  private findRun(serverId: ServerId, task: TaskId, run: number): EngineRun | undefined {
    const known = this.fleet.findServer(serverId)?.runs.get(task);
    return known?.run === run ? known : undefined;
  }
}
