import type Logger from 'bunyan';
import { CANCEL_RETENTION_MS } from '@guavaspindle/kernel/engine/cancel-retention-ms';
import { CancelledJobs } from '@guavaspindle/kernel/engine/cancelled-jobs';
import { CrashLedger } from '@guavaspindle/kernel/engine/crash-ledger';
import { countJobItems } from '@guavaspindle/kernel/engine/count-job-items';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import type { JobLimits } from '@guavaspindle/kernel/engine/job-limits';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { QueueName } from '@guavaspindle/kernel/ids/queue-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import { chooseHomePart } from '@guavaspindle/kernel/layout/choose-home-part';
import { chooseOpenPart } from '@guavaspindle/kernel/layout/choose-open-part';
import type { PartLoad } from '@guavaspindle/kernel/layout/part-load';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { CancelResult } from '@guavaspindle/platform-adapter/callers/cancel-result';
import type { JobService } from '@guavaspindle/platform-adapter/callers/job-service';
import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import type { ClosedDomains } from '../links/closed-domains';
import { CallerCancels } from '../cancels/caller-cancels';
import { CancelForwards } from '../cancels/cancel-forwards';
import { cancelTiming } from '../cancels/cancel-timing';
import { takeRequestNumber } from '../cancels/take-request-number';
import type { EntryPort } from '../links/entry-port';
import type { LeaderPort } from '../links/leader-port';
import { linkTiming } from '../links/link-timing';
import type { PoolMetrics } from '../pool/pool-metrics';
import type { OpenJob } from './open-job';
import { SharedDoneTasks } from './shared-done-tasks';

/** A job that has not been sent to any leader within this time is refused. */
const NO_LEADER_TIMEOUT_MS = 900;
/** A caller is answered this long before its deadline, which counts from the sending of its request. */
const ANSWER_MARGIN_MS = 50;
/** The same as a share of the time that the caller allows, at most. */
const MAX_ANSWER_MARGIN_SHARE = 0.1;
/** Retry delay reported to the caller of a job that has not been run. */
const RETRY_AFTER_MS = 1_000;

/** Number of leaders that may go without notice under a job. */
const MAX_LOST_LEADERS = 2;
/** Reason for giving up a job after that. */
const LEADERS_LOST = 'leaders lost under the job';
/** Reason for not taking a job beside the open ones of this instance. */
const TOO_MANY_TASKS = 'too many tasks are open';

const NO_DOMAINS: ReadonlySet<DomainName> = new Set();

/** Reason for not taking a job whose caller closed the connection before the request was read. */
const CALLER_GONE = 'caller gone before';
/** Reason for not taking a job that was cancelled before this copy of its request arrived. */
const CANCELLED_BEFORE = 'cancelled before';

interface EntryJobsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: PoolMetrics;
  /** The failure domain of this instance. */
  readonly domain: DomainName;
  /** Time within which a cancellation is to be answered, in milliseconds. */
  readonly ackTimeoutMs: number;
  /** How much work callers may have open; the limits of the product by default. */
  readonly jobLimits?: JobLimits;
  findConfiguration(): Configuration | undefined;
  /** Counts the servers of a rack that belong to a part; without it, racks do not matter. */
  countRackServers?(part: PoolPart, rack: string): number;
  /** Returns whether the platform's store has been unreachable recently. */
  hasRecentStoreFailure(): boolean;
  /** Called when the leader of a part is giving up the leadership. */
  onLeaderLeaving(part: PartId, successor: InstanceName | undefined): void;
  /** Called when a job needs a link to a part that has none; `setLeader` follows once it is open. */
  onPartNeeded(part: PartId): void;
  /** Called when a leader no longer uses servers that have no entry in the store. */
  onServersSettled?(ids: readonly ServerId[]): void;
  /** Called when the leader of a part reports its load. */
  onLoad(part: PartId, load: PartLoad): void;
}

/**
 * The jobs for which callers wait at this instance. Submits each job to the leader of one part of the
 * backend servers: its home part, or the part to which that leader sends it on.
 */
export class EntryJobs implements JobService {
  readonly jobLimits: JobLimits;

  private readonly jobs = new Map<JobId, OpenJob>();

  private readonly leaders = new Map<PartId, LeaderPort>();

  private parts: readonly PoolPart[] = [];

  /** The failure domains that are evacuated; undefined while they are not known or not followed. */
  private closed: ClosedDomains | undefined;

  private isRefusing = false;

  private pendingByQueue: ReadonlyMap<string, number> = new Map();

  /** What the leaders have reported; a later leader, or one of another part, does not know it yet. */
  private readonly crashes = new CrashLedger();

  /** Jobs that are cancelled: neither submitted nor run when a copy of their request arrives. */
  private readonly cancelledJobs = new CancelledJobs(CANCEL_RETENTION_MS);

  private readonly sharedDoneTasks = new SharedDoneTasks();

  private readonly callerCancels: CallerCancels;

  private readonly cancelForwards: CancelForwards;

  constructor(private readonly options: EntryJobsOptions) {
    const { clock, domain, ackTimeoutMs, jobLimits = defaultJobLimits } = options;
    this.jobLimits = jobLimits;
    const findLeader = (part: PartId): LeaderPort | undefined => this.leaders.get(part);
    this.callerCancels = new CallerCancels({
      answerTimeoutMs: ackTimeoutMs - cancelTiming.answerMarginMs,
      findLeader,
      chooseCoordinator: (id) => this.chooseCoordinator(id),
    });
    this.cancelForwards = new CancelForwards({
      clock,
      domain,
      listParts: () => this.parts,
      findLeader,
    });
  }

  /** Number of jobs for which callers wait. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /**
   * Sets the parts that jobs may be submitted to. Jobs of parts that no longer exist are submitted to
   * others; their servers may belong to any part now.
   */
  setParts(parts: readonly PoolPart[]): void {
    this.parts = parts;
    const known = new Set(parts.map(({ id }) => id));
    this.callerCancels.setParts(known);
    this.jobs.forEach((job) => {
      if (job.part !== undefined && !known.has(job.part)) {
        job.part = undefined;
        job.mayRunOnUnknownServers = true;
        this.sendJob(job);
        this.settleCancelledJob(job);
      }
    });
  }

  /**
   * Sets the failure domains that are evacuated: jobs are submitted to other parts first. Tells all leaders, since
   * their own connections to the store may be down.
   */
  setClosedDomains(closed: ClosedDomains): void {
    this.closed = closed;
    this.leaders.forEach((leader) => leader.reportClosedDomains?.(closed));
    const { domain } = this.options;
    if (closed.domains.has(domain)) {
      // The jobs that arrive here need links to the parts of other domains.
      this.listOpenParts(this.parts)
        .filter((part) => part.domain !== undefined)
        .forEach(({ id }) => this.options.onPartNeeded(id));
    }
  }

  /**
   * Sets the current leader of a part and submits to it the open jobs of the part and those that no
   * leader has; undefined while there is none.
   */
  setLeader(part: PartId, leader: LeaderPort | undefined): void {
    const nowMs = this.options.clock.now();
    if (leader === undefined) {
      this.leaders.delete(part);
      this.cancelForwards.handleLeaderLost(part);
      this.callerCancels.handleLeaderLost(part);
    } else {
      this.leaders.set(part, leader);
      if (this.closed !== undefined) {
        leader.reportClosedDomains?.(this.closed);
      }
      const cancelled = this.cancelledJobs.listJobs(nowMs);
      if (cancelled.length > 0) {
        leader.reportCancels(cancelled);
      }
      const doneTasks = this.sharedDoneTasks.listTasks(nowMs);
      if (doneTasks.length > 0) {
        leader.reportDoneTasks(doneTasks);
      }
      this.callerCancels.handleNewLeader(part);
    }
    this.jobs.forEach((job) => {
      if (leader !== undefined && (job.part === undefined || job.part === part)) {
        this.sendJob(job);
      } else if (leader === undefined && job.part === part) {
        job.leaderLostAtMs ??= nowMs;
        this.settleCancelledJob(job);
      }
    });
    leader?.reportAllSubmitted();
  }

  /**
   * Records that the leader of a part has gone without notice and another process leads now. A job under which that
   * has happened twice may be the reason: its callers are answered, and it is not given to a third leader.
   */
  recordLostLeader(part: PartId): void {
    this.jobs.forEach((job) => {
      if (job.part === part && job.leaderLostAtMs !== undefined) {
        job.lostLeaders += 1;
        if (job.lostLeaders >= MAX_LOST_LEADERS) {
          [...job.waiters].forEach((settle) => this.endWait(job, settle, LEADERS_LOST));
        }
      }
    });
  }

  /** Builds the receiver of the messages from the leader of a part. */
  buildPort(part: PartId): EntryPort {
    let proofTimer: NodeJS.Timeout | undefined;
    return {
      endJob: (id, outcome) => this.endJob(part, id, outcome),
      moveJob: (id, target, wasMovedBefore) => this.moveJob(part, id, target, wasMovedBefore),
      keepsDoneTasks: false,
      reportDone: (id, task) => this.recordDoneTask(id, task),
      waitForReceipt: async () => true,
      reportCrash: (record) => this.crashes.addRecord(record, this.options.clock.now()),
      reportLife: (serverId, startedAtMs, clearedTasks) => {
        // The leader ends the jobs of the tasks that this confirms.
        this.crashes.resolveServer(serverId, startedAtMs, clearedTasks);
      },
      reportHiddenRun: (id) => {
        const job = this.jobs.get(id);
        if (job !== undefined) {
          job.mayRunOnUnknownServers = true;
        }
      },
      reportSettledServers: (ids) => this.options.onServersSettled?.(ids),
      answerCancel: (id, isKnown, isForwarded, request) => {
        this.callerCancels.recordAnswer(part, id, isKnown, isForwarded, request);
        this.cancelForwards.recordAnswer(part, id, isKnown, request);
      },
      reportCancels: (ids) => this.recordCancels(ids),
      reportPending: (pending) => {
        this.pendingByQueue = pending;
      },
      reportLoad: (load) => this.options.onLoad(part, load),
      reportLeaving: (successor) => this.options.onLeaderLeaving(part, successor),
      reportUnstarted: (ids) => this.recordUnstarted(part, ids),
      // `LeaderElection` calls `setLeader` itself when the instance stops leading.
      endLink() {},
      // Only the port of a leader in the same process is asked; it has no link that can fall silent.
      isSilent: () => proofTimer !== undefined,
      requestProof() {
        // The timer of an earlier request may run before waits that ended during a later pause.
        clearTimeout(proofTimer);
        // Timers run in the order of their times: waits that ended during a pause are given up before.
        proofTimer = setTimeout(() => {
          proofTimer = undefined;
        }, 1);
      },
    };
  }

  /** Returns whether open jobs have been submitted to a part or are about to be. */
  hasJobsAt(part: PartId): boolean {
    return [...this.jobs.values()].some((job) => job.part === part);
  }

  /** Records that runs of the open jobs at a part may be on servers that the next leader does not know. */
  recordHiddenRuns(part: PartId): void {
    this.jobs.forEach((job) => {
      if (job.part === part) {
        job.mayRunOnUnknownServers = true;
      }
    });
  }

  /** Refuses all new jobs from now on; open jobs continue. */
  refuseNewJobs(): void {
    this.isRefusing = true;
  }

  /**
   * Answers all waiting callers: `unknown` if the job was sent to a leader, otherwise `not-run`. Cancellations, those
   * that follow included, are unconfirmed.
   */
  answerAllCallers(reason: string): void {
    this.callerCancels.close();
    [...this.jobs.values()].forEach((job) => {
      [...job.waiters].forEach((settle) => this.endWait(job, settle, reason));
    });
  }

  findConfiguration(): Configuration | undefined {
    return this.options.findConfiguration();
  }

  async runJob(spec: JobSpec, timeoutMs: number, callerLeft: Promise<void>): Promise<JobOutcome> {
    const { clock } = this.options;
    const deadlineMs = clock.now() + timeoutMs;
    if (!this.jobs.has(spec.id)) {
      // A request that arrives after its cancellation waits until it is certain whether there was a job.
      const pending = this.callerCancels.findPending(spec.id);
      if (pending !== undefined) {
        await pending;
      }
      if (this.cancelledJobs.hasJob(spec.id, this.options.clock.now())) {
        this.options.metrics.recordJob(spec.queue.name, CANCELLED_BEFORE, 0);
        this.options.log.info({ job: spec.id, reason: CANCELLED_BEFORE }, 'job not taken');
        return { kind: 'cancelled' };
      }
    }
    const known = this.jobs.get(spec.id);
    if (known === undefined && this.isRefusing) {
      return { kind: 'not-run', reason: 'shutdown', retryAfterMs: RETRY_AFTER_MS };
    }
    if (
      known === undefined &&
      this.countOpenItems() + countJobItems(spec) > this.jobLimits.maxOpenItems
    ) {
      return { kind: 'not-run', reason: TOO_MANY_TASKS, retryAfterMs: RETRY_AFTER_MS };
    }
    const job = known ?? this.addJob(spec);
    const marginMs = Math.min(ANSWER_MARGIN_MS, timeoutMs * MAX_ANSWER_MARGIN_SHARE);
    return new Promise((resolve) => {
      let timers: NodeJS.Timeout[] = [];
      const settle = (outcome: JobOutcome): void => {
        timers.forEach((timer) => clearTimeout(timer));
        timers = [];
        job.waiters.delete(settle);
        resolve(outcome);
      };
      job.waiters.add(settle);
      timers.push(
        setTimeout(
          () => this.endWait(job, settle, 'timeout'),
          Math.max(0, deadlineMs - marginMs - clock.now()),
        ),
        setTimeout(() => {
          if (!job.mayHaveRun) {
            this.endWait(job, settle, 'no leader');
          }
        }, NO_LEADER_TIMEOUT_MS),
      );
      void callerLeft.then(() => {
        if (job.waiters.has(settle)) {
          this.endWait(job, settle, 'caller left');
        }
      });
    });
  }

  recordCallerGone({ id, queue }: JobSpec): void {
    this.options.metrics.recordJob(queue.name, CALLER_GONE, 0);
    this.options.log.info({ job: id, queue: queue.name, reason: CALLER_GONE }, 'job not taken');
  }

  async cancelJob(id: JobId): Promise<CancelResult> {
    const { clock, log, metrics } = this.options;
    const beganMs = clock.now();
    const job = this.jobs.get(id);
    const isKnown = job !== undefined || this.cancelledJobs.hasJob(id, beganMs);
    if (isKnown) {
      this.cancelledJobs.addJob(id, beganMs);
    }
    if (job !== undefined) {
      job.isCancelled = true;
    }
    const result = await this.callerCancels.cancelJob(id, isKnown, job?.part);
    if (result === 'cancelled') {
      this.recordCancels([id]);
    }
    if (job !== undefined && this.jobs.get(id) === job) {
      if (result === 'cancelled') {
        this.settleJob(job, { kind: 'cancelled' });
      } else if (this.isWithoutLeader(job)) {
        this.settleJob(job, { kind: 'unknown', reason: 'the cancellation is not confirmed' });
      }
    }
    const ageMs = Math.round(clock.now() - beganMs);
    metrics.recordCancel(result, ageMs);
    log.info({ job: id, result, isKnown, part: job?.part, ageMs }, 'cancellation answered');
    return result;
  }

  /**
   * Cancels a job, which the leader of the given part has been asked to cancel, at the leaders of all other
   * parts. Resolves with whether one of them knows it; undefined if not all have confirmed it in time.
   */
  async cancelElsewhere(part: PartId, id: JobId, isKnown: boolean): Promise<boolean | undefined> {
    if (isKnown) {
      // A leader that is linked to after it has read the store's records learns the cancellation from here.
      this.recordCancels([id]);
    }
    return this.cancelForwards.cancelElsewhere(part, id, isKnown);
  }

  countPending(queue: QueueName): number {
    return this.pendingByQueue.get(queue) ?? 0;
  }

  private recordDoneTask(id: JobId, task: TaskId): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      this.sharedDoneTasks.addTask(task, this.options.clock.now());
    } else {
      job.doneTasks.add(task);
    }
  }

  private endJob(part: PartId, id: JobId, outcome: JobOutcome): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      return;
    }
    if (job.part !== part) {
      // An earlier part has nothing to say of the job, except that it was cancelled there.
      if (outcome.kind === 'cancelled') {
        this.cancelMovedJob(job);
      }
      return;
    }
    if (
      outcome.kind === 'not-run' &&
      outcome.isUnservable === true &&
      !job.isCancelled &&
      this.sendElsewhere(job)
    ) {
      return;
    }
    this.settleJob(job, outcome);
  }

  /** Records cancellations, so that the jobs are not submitted any more and later leaders learn of them. */
  private recordCancels(ids: readonly JobId[]): void {
    const nowMs = this.options.clock.now();
    ids.forEach((id) => {
      this.cancelledJobs.addJob(id, nowMs);
      const job = this.jobs.get(id);
      if (job !== undefined) {
        job.isCancelled = true;
        this.settleCancelledJob(job);
      }
    });
  }

  /**
   * Answers the callers of a cancelled job that no leader has: nobody else will. While a caller waits for
   * the cancellation to be confirmed, so do they.
   */
  private settleCancelledJob(job: OpenJob): void {
    const isPending = this.callerCancels.findPending(job.spec.id) !== undefined;
    if (job.isCancelled && !isPending && this.isWithoutLeader(job)) {
      this.settleJob(job, { kind: 'cancelled' });
    }
  }

  /** Returns whether no present leader has been sent a job. */
  private isWithoutLeader({ part, leaderLostAtMs }: OpenJob): boolean {
    return part === undefined || leaderLostAtMs !== undefined || !this.leaders.has(part);
  }

  /** Cancels a job, of which another part has been told, at the part that has it now. */
  private cancelMovedJob(job: OpenJob): void {
    if (job.part !== undefined) {
      const request = takeRequestNumber();
      this.leaders
        .get(job.part)
        ?.cancelJob(job.spec.id, { isKnown: true, isForwarded: true, request });
    }
    this.settleJob(job, { kind: 'cancelled' });
  }

  /** Answers all callers of a job with its outcome. */
  private settleJob(job: OpenJob, outcome: JobOutcome): void {
    const { id, queue } = job.spec;
    const { acceptedVersion } = job;
    this.jobs.delete(id);
    const ageMs = Math.round(this.options.clock.now() - job.arrivedAtMs);
    const answeredVersion = this.options.findConfiguration()?.version;
    this.options.metrics.recordJob(queue.name, outcome.kind, ageMs);
    this.options.log.info(
      { job: id, queue: queue.name, outcome, ageMs, acceptedVersion, answeredVersion },
      'job ended',
    );
    [...job.waiters].forEach((settle) => settle(outcome));
  }

  /** Records that the leader of a part, which leads no more, has started nothing of these jobs. */
  private recordUnstarted(part: PartId, ids: readonly JobId[]): void {
    const jobs = ids.flatMap((id) => this.jobs.get(id) ?? []).filter((job) => job.part === part);
    jobs.forEach((job) => {
      job.isUnstarted = true;
      job.mayHaveRun = false;
    });
    setTimeout(() => {
      jobs
        .filter((job) => job.isUnstarted && this.jobs.get(job.spec.id) === job)
        .forEach((job) => {
          [...job.waiters].forEach((settle) => this.endWait(job, settle, 'no leader'));
        });
    }, NO_LEADER_TIMEOUT_MS);
  }

  private moveJob(source: PartId, id: JobId, target: PartId, wasMovedBefore: boolean): void {
    const job = this.jobs.get(id);
    if (job?.part !== source) {
      return;
    }
    job.triedParts.add(source);
    job.isMoved = true;
    job.moveCount += 1;
    job.mayHaveRun = wasMovedBefore;
    job.hadEarlierLeader = false;
    job.isUnstarted = false;
    // A leader that moves a job away from a closed failure domain may choose a part without links from here.
    const isLinkable = this.parts.some(({ id: part }) => part === target);
    job.part = isLinkable || wasMovedBefore ? target : undefined;
    this.sendJob(job);
    this.settleCancelledJob(job);
  }

  /**
   * Submits a job of which its part has started nothing to another part; returns false if all parts
   * have been tried.
   */
  private sendElsewhere(job: OpenJob): boolean {
    if (job.part !== undefined) {
      job.triedParts.add(job.part);
    }
    job.part = undefined;
    job.mayHaveRun = false;
    job.hadEarlierLeader = false;
    job.isUnstarted = false;
    job.isMoved = true;
    job.moveCount += 1;
    this.sendJob(job);
    return this.parts.some(({ id }) => !job.triedParts.has(id));
  }

  private countOpenItems(): number {
    let items = 0;
    this.jobs.forEach(({ spec }) => {
      items += countJobItems(spec);
    });
    return items;
  }

  private addJob(spec: JobSpec): OpenJob {
    const job: OpenJob = {
      spec,
      acceptedVersion: this.options.findConfiguration()?.version,
      arrivedAtMs: this.options.clock.now(),
      doneTasks: new Set(),
      waiters: new Set(),
      part: undefined,
      triedParts: new Set(),
      mayHaveRun: false,
      hadEarlierLeader: false,
      isUnstarted: false,
      isMoved: false,
      moveCount: 0,
      mayRunOnUnknownServers: false,
      unknownRunsExpireAtMs: 0,
      isCancelled: false,
      lostLeaders: 0,
      leaderLostAtMs: undefined,
    };
    this.jobs.set(spec.id, job);
    this.sendJob(job);
    return job;
  }

  /**
   * Submits a job to the leader of its part; without a part, to its home part or else another one.
   * Asks for a link if there is none.
   */
  private sendJob(job: OpenJob): void {
    if (job.isCancelled) {
      return;
    }
    const part = job.part ?? this.choosePart(job);
    if (part === undefined) {
      return;
    }
    const leader = this.leaders.get(part);
    if (leader === undefined) {
      this.options.onPartNeeded(part);
    } else {
      this.submitTo(job, part, leader);
    }
  }

  /**
   * Chooses a part for a job: one outside the closed failure domains before others, then one with a leader
   * before others, and one of the own domain before others.
   */
  private choosePart(job: OpenJob): PartId | undefined {
    const { domain, countRackServers } = this.options;
    const { id: jobId, steps } = job.spec;
    const rack = steps.find(({ preferredRack }) => preferredRack !== undefined)?.preferredRack;
    const countServers =
      rack === undefined || countRackServers === undefined
        ? undefined
        : (part: PoolPart): number => countRackServers(part, rack);
    const untried = this.parts.filter(({ id }) => !job.triedParts.has(id));
    const open = this.listOpenParts(untried);
    if (open.length > 0 && open.length < untried.length) {
      const own = open.filter((part) => part.domain === undefined || part.domain === domain);
      return this.chooseOpenPart(own.length > 0 ? own : open, jobId);
    }
    const reachable = untried.filter(({ id }) => this.leaders.has(id));
    const best = chooseHomePart(reachable, domain, jobId, countServers) ?? reachable[0];
    return (best ?? untried.find((part) => part.domain !== domain) ?? untried[0])?.id;
  }

  /** Chooses a part by hash; asks for a link to it and chooses one with a leader if it has none. */
  private chooseOpenPart(parts: readonly PoolPart[], jobId: JobId): PartId | undefined {
    const best = chooseOpenPart(parts, NO_DOMAINS, undefined, jobId);
    if (best === undefined || this.leaders.has(best)) {
      return best;
    }
    this.options.onPartNeeded(best);
    const reachable = parts.filter(({ id }) => this.leaders.has(id));
    return chooseOpenPart(reachable, NO_DOMAINS, undefined, jobId) ?? best;
  }

  private listOpenParts(parts: readonly PoolPart[]): readonly PoolPart[] {
    const domains = this.closed?.domains ?? NO_DOMAINS;
    return parts.filter(({ domain }) => domain === undefined || !domains.has(domain));
  }

  /**
   * Chooses the part whose leader is asked to cancel a job everywhere: the one that copies of the job are
   * submitted to first. Asks for a link if there is none.
   */
  private chooseCoordinator(id: JobId): PartId | undefined {
    const reachable = this.parts.filter((part) => this.leaders.has(part.id));
    const best = chooseHomePart(reachable, this.options.domain, id) ?? reachable[0];
    const unreachable = this.parts.find((part) => part.domain !== this.options.domain);
    if (best === undefined && unreachable !== undefined) {
      this.options.onPartNeeded(unreachable.id);
    }
    return best?.id;
  }

  private submitTo(job: OpenJob, part: PartId, leader: LeaderPort): void {
    const nowMs = this.options.clock.now();
    const lostForMs = nowMs - (job.leaderLostAtMs ?? nowMs);
    const { isUnstarted, hadEarlierLeader: isResumed } = job;
    const mayHaveStarted = isResumed && !isUnstarted;
    const priorRunsExpireInMs = mayHaveStarted
      ? Math.max(0, linkTiming.priorRunLifetimeMs - lostForMs)
      : 0;
    // A leader that was cut off along with this instance may have used servers whose entries expired.
    const mayRunOnUnknownServers =
      !isUnstarted &&
      (job.mayRunOnUnknownServers ||
        nowMs < job.unknownRunsExpireAtMs ||
        this.options.hasRecentStoreFailure());
    if (mayRunOnUnknownServers) {
      job.unknownRunsExpireAtMs = Math.max(job.unknownRunsExpireAtMs, nowMs + priorRunsExpireInMs);
    }
    job.part = part;
    leader.submitJob({
      spec: job.spec,
      ageMs: nowMs - job.arrivedAtMs,
      doneTasks: job.doneTasks,
      isResumed,
      isUnstarted,
      priorRunsExpireInMs,
      mayRunOnUnknownServers,
      isMoved: job.isMoved,
      moveCount: job.moveCount === 0 ? undefined : job.moveCount,
      crashes: this.crashes.listRecords(job.spec.id),
    });
    job.mayRunOnUnknownServers = leader.isDomainOnly;
    job.mayHaveRun = true;
    job.hadEarlierLeader = true;
    job.isUnstarted = false;
    job.leaderLostAtMs = undefined;
  }

  /** Answers one caller that stops waiting; the job is dropped along with its last caller. */
  private endWait(job: OpenJob, settle: (outcome: JobOutcome) => void, reason: string): void {
    settle(
      job.mayHaveRun
        ? { kind: 'unknown', reason }
        : { kind: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS },
    );
    if (job.waiters.size === 0 && this.jobs.delete(job.spec.id)) {
      if (job.part !== undefined) {
        this.leaders.get(job.part)?.dropCaller(job.spec.id);
      }
      const ageMs = Math.round(this.options.clock.now() - job.arrivedAtMs);
      this.options.metrics.recordJob(job.spec.queue.name, reason, ageMs);
      const { part, mayHaveRun, spec } = job;
      const isWithoutLeader = this.isWithoutLeader(job);
      this.options.log.info(
        { job: spec.id, queue: spec.queue.name, reason, mayHaveRun, part, isWithoutLeader, ageMs },
        'job given up',
      );
    }
  }
}
