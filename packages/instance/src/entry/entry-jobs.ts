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

/** A job that no leader has had is refused after so long without one. */
const NO_LEADER_TIMEOUT_MS = 900;
/** What a caller is told to wait while there is no leader. */
const RETRY_AFTER_MS = 1_000;
/** A cancellation that the leader has not answered is reported as not known after so long. */
const CANCEL_TIMEOUT_MS = 1_000;

interface EntryJobsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: PoolMetrics;
  findConfiguration(): Configuration | undefined;
  /** Tells whether the platform's store has been out of reach lately. */
  hasRecentStoreFailure(): boolean;
  /** The leader gives up the lead. */
  onLeaderLeaving(): void;
}

/** The jobs that callers of this instance wait for; hands them to whoever leads. */
export class EntryJobs implements JobService, EntryPort {
  private readonly jobs = new Map<JobId, OpenJob>();

  private leader: LeaderPort | undefined;

  private isRefusing = false;

  private pendingByQueue: ReadonlyMap<string, number> = new Map();

  private readonly pendingCancels = new Map<JobId, (isKnown: boolean) => void>();

  constructor(private readonly options: EntryJobsOptions) {}

  /** Jobs whose callers wait. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /** Hands all open jobs to a new leader; undefined while there is none. */
  setLeader(leader: LeaderPort | undefined): void {
    const nowMs = this.options.clock.now();
    this.leader = leader;
    this.jobs.forEach((job) => {
      if (leader === undefined) {
        job.linkLostAtMs ??= job.wasSent ? nowMs : undefined;
      } else {
        this.sendJob(job);
      }
    });
  }

  /** Refuses all jobs from now on; those that are open go on. */
  refuseNewJobs(): void {
    this.isRefusing = true;
  }

  /** Answers all callers that still wait, with what is known. */
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

  // The keeper of the lead notices the end of a link by itself.
  // eslint-disable-next-line class-methods-use-this -- part of the port
  endLink(): void {}

  // It is this process.
  // eslint-disable-next-line class-methods-use-this -- part of the port
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
      linkLostAtMs: undefined,
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
    const lostForMs = nowMs - (job.linkLostAtMs ?? nowMs);
    this.leader.submitJob({
      spec: job.spec,
      ageMs: nowMs - job.arrivedAtMs,
      doneTasks: job.doneTasks,
      isResumed: job.wasSent,
      priorRunsExpireInMs: job.wasSent
        ? Math.max(0, linkTiming.orphanedRunLifetimeMs - lostForMs)
        : 0,
      // A leader that was cut off with this instance may have used servers whose entries have lapsed.
      mayRunOnUnknownServers: job.hadDomainLeader || this.options.hasRecentStoreFailure(),
    });
    job.hadDomainLeader = this.leader.isDomainOnly;
    job.wasSent = true;
    job.linkLostAtMs = undefined;
  }

  /** Answers one caller that waits no longer; the job itself ends with its last caller. */
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
