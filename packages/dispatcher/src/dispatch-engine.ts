import { buildInvariantError } from '@guavaspindle/kernel/build-invariant-error';
import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { SubmitDecision } from '@guavaspindle/kernel/dispatch/submit-decision';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { JobResult } from '@guavaspindle/kernel/outcome/job-result';
import type { PeerView } from '@guavaspindle/kernel/placement/peer-view';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import type { Job } from '@guavaspindle/kernel/submission/job';
import type { JobSubmission } from '@guavaspindle/kernel/submission/job-submission';
import type { OperatorsTable } from '@guavaspindle/kernel/table/operators-table';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { StatsD } from 'hot-shots';
import type { TaskExecutor } from './execution/task-executor';
import type { LimitBroker } from './peers/limit-broker';

/** Interval at which the kernel takes time-driven decisions. */
const TICK_INTERVAL_MS = 20;

/** The components that the engine connects. */
interface DispatchEngineDependencies {
  readonly kernel: DispatchKernel;
  readonly executor: TaskExecutor;
  readonly broker: LimitBroker;
  readonly clock: Clock;
  readonly ring: EventRingBuffer;
  readonly metrics: StatsD;
}

/** Drives the kernel: passes it events and the current time, and applies the resulting effects. */
export class DispatchEngine {
  private readonly waiters = new Map<JobId, ((result: JobResult) => void)[]>();

  private readonly tickTimer: NodeJS.Timeout;

  constructor(private readonly dependencies: DispatchEngineDependencies) {
    this.tickTimer = setInterval(() => {
      this.dependencies.kernel.advanceTime(this.dependencies.clock.now());
      this.applyEffects();
    }, TICK_INTERVAL_MS);
  }

  /** Submits a job to the kernel. */
  submitJob(submission: JobSubmission, ticketNumber: number): SubmitDecision {
    const decision = this.dependencies.kernel.submitJob(
      submission,
      ticketNumber,
      this.dependencies.clock.now(),
    );
    this.applyEffects();
    return decision;
  }

  /** Cancels a job and returns how many of its tasks had started. */
  cancelJob(job: Job): number {
    const started = this.dependencies.kernel.cancelJob(job, this.dependencies.clock.now());
    this.applyEffects();
    return started;
  }

  /** Adopts a newer version of the operators' table. */
  adoptTable(table: OperatorsTable): void {
    this.dependencies.kernel.adoptTable(table, this.dependencies.clock.now());
    this.applyEffects();
  }

  /** Adopts a newer list of backend servers and closes the connections to unlisted servers. */
  adoptServers(servers: readonly ServerInfo[]): void {
    this.dependencies.kernel.adoptServers(servers, this.dependencies.clock.now());
    this.dependencies.executor.retainServers(servers);
    this.applyEffects();
  }

  /** Adopts a newer view of the other dispatchers and of the slots that they use. */
  adoptPeers(peerView: PeerView): void {
    this.dependencies.kernel.adoptPeers(peerView, this.dependencies.clock.now());
    this.applyEffects();
  }

  /** Marks a backend server as leaving, as its response announced. */
  markLeaving(server: ServerInfo): void {
    this.dependencies.kernel.markLeaving(server);
    this.applyEffects();
  }

  /** Starts to refuse new submissions. */
  beginDrain(): void {
    this.dependencies.kernel.beginDrain();
    this.applyEffects();
  }

  /** Resolves with the job's result when the job has ended. */
  waitForJob(job: Job): Promise<JobResult> {
    if (job.result !== undefined) {
      return Promise.resolve(job.result);
    }
    return new Promise((resolve) => {
      const waiting = this.waiters.get(job.id) ?? [];
      waiting.push(resolve);
      this.waiters.set(job.id, waiting);
    });
  }

  /** Stops the timers and closes the connections to backend servers and other dispatchers. */
  close(): void {
    clearInterval(this.tickTimer);
    this.dependencies.executor.close();
    this.dependencies.broker.close();
  }

  private applyEffects(): void {
    this.dependencies.kernel.takeEffects().forEach((effect) => this.applyEffect(effect));
  }

  private applyEffect(effect: KernelEffect): void {
    switch (effect.type) {
      case 'start':
        this.dependencies.metrics.increment('starts');
        void this.dependencies.executor.runAttempt(effect).then((outcome) => {
          this.dependencies.metrics.increment(`attempts.${outcome.type}`);
          this.dependencies.kernel.endAttempt(
            effect.attempt,
            outcome,
            this.dependencies.clock.now(),
          );
          this.applyEffects();
        });
        return;
      case 'stop':
        void this.dependencies.executor.stopAttempt(effect);
        return;
      case 'borrow':
        void this.dependencies.broker.requestLoan(effect);
        return;
      case 'return-loan':
        void this.dependencies.broker.returnLoan(effect);
        return;
      case 'job-ended':
        this.resolveWaiters(effect.job);
        return;
      case 'record':
        this.dependencies.ring.recordEvent(effect.event);
        return;
      default:
        effect satisfies never;
    }
  }

  private resolveWaiters(job: Job): void {
    const { result } = job;
    if (result === undefined) {
      throw buildInvariantError('A job ended without a result.', { job: job.id });
    }
    const waiting = this.waiters.get(job.id) ?? [];
    this.waiters.delete(job.id);
    waiting.forEach((resolve) => resolve(result));
  }
}
