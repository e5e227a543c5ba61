import type Logger from 'bunyan';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { QueueName } from '@guavaspindle/kernel/ids/queue-name';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { JobService } from '@guavaspindle/platform-adapter/callers/job-service';
import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import type { EntryPort } from '../links/entry-port';
import type { LeaderPort } from '../links/leader-port';
import { linkTiming } from '../links/link-timing';
import type { PoolMetrics } from '../pool/pool-metrics';
import type { OpenJob } from './open-job';

/** A job that has not been sent to any leader within this time is refused. */
const NO_LEADER_TIMEOUT_MS = 900;
/** Retry delay reported to the caller of a job that has not been run. */
const RETRY_AFTER_MS = 1_000;
/**
 * Timeout for the leader's reply to a cancellation. Without a reply, the job is reported as known if
 * it is still open at this instance.
 */
const CANCEL_TIMEOUT_MS = 1_000;

interface EntryJobsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: PoolMetrics;
  findConfiguration(): Configuration | undefined;
  /** Returns whether the platform's store has been unreachable recently. */
  hasRecentStoreFailure(): boolean;
  /** Called when the leader is giving up the leadership. */
  onLeaderLeaving(): void;
}

/** The jobs for which callers wait at this instance; submits them to the current leader. */
export class EntryJobs implements JobService, EntryPort {
  private readonly jobs = new Map<JobId, OpenJob>();

  private leader: LeaderPort | undefined;

  private isRefusing = false;

  private pendingByQueue: ReadonlyMap<string, number> = new Map();

  private readonly pendingCancels = new Map<JobId, (isKnown: boolean) => void>();

  constructor(private readonly options: EntryJobsOptions) {}

  /** Number of jobs for which callers wait. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /** Sets the current leader and submits all open jobs to it; undefined while there is none. */
  setLeader(leader: LeaderPort | undefined): void {
    const nowMs = this.options.clock.now();
    this.leader = leader;
    this.jobs.forEach((job) => {
      if (leader === undefined) {
        job.leaderLostAtMs ??= job.wasSent ? nowMs : undefined;
      } else {
        this.sendJob(job);
      }
    });
  }

  /** Refuses all new jobs from now on; open jobs continue. */
  refuseNewJobs(): void {
    this.isRefusing = true;
  }

  /** Answers all waiting callers: `unknown` if the job was sent to a leader, otherwise `not-run`. */
  answerAllCallers(reason: string): void {
    [...this.jobs.values()].forEach((job) => {
      [...job.waiters].forEach((settle) => this.endWait(job, settle, reason));
    });
  }

  findConfiguration(): Configuration | undefined {
    return this.options.findConfiguration();
  }

  async runJob(spec: JobSpec, timeoutMs: number, callerLeft: Promise<void>): Promise<JobOutcome> {
    const known = this.jobs.get(spec.id);
    if (known === undefined && this.isRefusing) {
      return { kind: 'not-run', reason: 'shutdown', retryAfterMs: RETRY_AFTER_MS };
    }
    const job = known ?? this.addJob(spec);
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
        setTimeout(() => this.endWait(job, settle, 'timeout'), timeoutMs),
        setTimeout(() => {
          if (!job.wasSent) {
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

  async cancelJob(id: JobId): Promise<boolean> {
    if (this.leader === undefined) {
      return this.jobs.has(id);
    }
    const { leader } = this;
    const answer = new Promise<boolean>((resolve) => {
      this.pendingCancels.set(id, resolve);
      leader.cancelJob(id);
    });
    const timeout = this.options.clock.pause(CANCEL_TIMEOUT_MS).then(() => this.jobs.has(id));
    const isKnown = await Promise.race([answer, timeout]);
    this.pendingCancels.delete(id);
    return isKnown;
  }

  countPending(queue: QueueName): number {
    return this.pendingByQueue.get(queue) ?? 0;
  }

  endJob(id: JobId, outcome: JobOutcome): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      return;
    }
    this.jobs.delete(id);
    const ageMs = Math.round(this.options.clock.now() - job.arrivedAtMs);
    this.options.metrics.recordJob(job.spec.queue.name, outcome.kind, ageMs);
    this.options.log.info({ job: id, queue: job.spec.queue.name, outcome, ageMs }, 'job ended');
    [...job.waiters].forEach((settle) => settle(outcome));
  }

  reportDone(id: JobId, task: TaskId): void {
    this.jobs.get(id)?.doneTasks.add(task);
  }

  answerCancel(id: JobId, isKnown: boolean): void {
    this.pendingCancels.get(id)?.(isKnown);
  }

  reportPending(pending: ReadonlyMap<string, number>): void {
    this.pendingByQueue = pending;
  }

  reportLeaving(): void {
    this.options.onLeaderLeaving();
  }

  // `LeaderElection` calls `setLeader` itself when this instance stops leading.
  // eslint-disable-next-line class-methods-use-this -- required by `EntryPort`
  endLink(): void {}

  // The leader runs in the same process, so there is no link that can fall silent.
  // eslint-disable-next-line class-methods-use-this -- required by `EntryPort`
  isSilent(): boolean {
    return false;
  }

  private addJob(spec: JobSpec): OpenJob {
    const job: OpenJob = {
      spec,
      arrivedAtMs: this.options.clock.now(),
      doneTasks: new Set(),
      waiters: new Set(),
      wasSent: false,
      hadDomainLeader: false,
      leaderLostAtMs: undefined,
    };
    this.jobs.set(spec.id, job);
    this.sendJob(job);
    return job;
  }

  private sendJob(job: OpenJob): void {
    if (this.leader === undefined) {
      return;
    }
    const nowMs = this.options.clock.now();
    const lostForMs = nowMs - (job.leaderLostAtMs ?? nowMs);
    this.leader.submitJob({
      spec: job.spec,
      ageMs: nowMs - job.arrivedAtMs,
      doneTasks: job.doneTasks,
      isResumed: job.wasSent,
      priorRunsExpireInMs: job.wasSent ? Math.max(0, linkTiming.priorRunLifetimeMs - lostForMs) : 0,
      // A leader that was cut off along with this instance may have used servers whose entries expired.
      mayRunOnUnknownServers: job.hadDomainLeader || this.options.hasRecentStoreFailure(),
    });
    job.hadDomainLeader = this.leader.isDomainOnly;
    job.wasSent = true;
    job.leaderLostAtMs = undefined;
  }

  /** Answers one caller that stops waiting; the job is dropped along with its last caller. */
  private endWait(job: OpenJob, settle: (outcome: JobOutcome) => void, reason: string): void {
    settle(
      job.wasSent
        ? { kind: 'unknown', reason }
        : { kind: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS },
    );
    if (job.waiters.size === 0 && this.jobs.delete(job.spec.id)) {
      this.leader?.dropCaller(job.spec.id);
      const ageMs = Math.round(this.options.clock.now() - job.arrivedAtMs);
      this.options.metrics.recordJob(job.spec.queue.name, reason, ageMs);
      this.options.log.info(
        { job: job.spec.id, queue: job.spec.queue.name, reason, wasSent: job.wasSent, ageMs },
        'job given up',
      );
    }
  }
}
