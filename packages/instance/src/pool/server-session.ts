/* eslint-disable no-await-in-loop -- one order after the other */
import type Logger from 'bunyan';
import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import type { JobEngine } from '@guavaspindle/kernel/engine/job-engine';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { OrderAnswer } from '@guavaspindle/platform-adapter/servers/order-answer';
import type { ServerPort } from '@guavaspindle/platform-adapter/servers/server-port';
import type { ServerState } from '@guavaspindle/platform-adapter/servers/server-state';
import type { PoolMetrics } from './pool-metrics';
import type { SessionOptions } from './session-options';

/** Longest wait of one renewal; leases are renewed at least this often, well within their term. */
const RENEWAL_WAIT_MS = 500;
/**
 * A renewal whose answer is lost hides the ends of runs: it waits until this long after the first
 * end that is expected, and no longer.
 */
const EXPECTED_END_SLACK_MS = 60;
const MIN_RENEWAL_WAIT_MS = 100;
/** Answers in a row that may be lost before the server counts as unreachable. */
const TOLERATED_UNANSWERED_CALLS = 1;
/** Clocks of servers may be this much slower than true time, as the platform's rules allow. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;
/** Added to every bound on a server's lease, for the way there. */
const LEASE_MARGIN_MS = 50;
/** An idle server's last ends are acknowledged after so long, unless a new run comes first. */
const IDLE_ACKNOWLEDGE_DELAY_MS = 500;
/** Pause between attempts to reach a server that does not answer. */
const UNREACHABLE_PAUSE_MS = 200;
/** Pause between looks at a server whose unknown runs are being stopped. */
const CONFIRM_PAUSE_MS = 10;
/** Ends that are remembered, so that a late answer does not bring a run back. */
const MAX_RECENT_ENDS = 256;

/** Talks to one backend server: orders, leases, and the ends of runs. */
export class ServerSession {
  private isClosed = false;

  private wake: (() => void) | undefined;

  /** Server clock minus own monotonic clock, in milliseconds; undefined before the first answer. */
  private clockOffsetMs: number | undefined;

  private acknowledgedSequence = 0;

  private serverStartedAtMs: number | undefined;

  private hasUnacknowledgedEnds = false;

  private lastEndAtMs = 0;

  /** Last time that a lease may have been extended, own monotonic milliseconds. */
  private leaseExtendedAtMs: number;

  private readonly recentEnds = new Set<string>();

  private unansweredCalls = 0;

  private wasConnectionRefused = false;

  private renewalsInProgress = 0;

  /** Only a look sent since then confirms the server; own monotonic milliseconds. */
  private confirmationRequestedAtMs = 0;

  constructor(
    private readonly server: EngineServer,
    private readonly client: ServerPort,
    private readonly engine: JobEngine,
    private readonly options: SessionOptions,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly metrics: PoolMetrics,
  ) {
    // An earlier leader may have extended leases until just now.
    this.leaseExtendedAtMs = clock.now();
  }

  /** Follows the server until the session is closed; never rejects. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.isRenewalDue()) {
        await this.renewLeases(this.computeRenewalWaitMs());
      } else {
        await this.waitForWork();
      }
    }
  }

  /** Sends an order to start a run. */
  async startRun(task: TaskId, run: number, specification: string): Promise<void> {
    const { fencingToken, maxLeaseMs } = this.options;
    this.wakeUp();
    const sentAtMs = this.clock.now();
    this.leaseExtendedAtMs = sentAtMs;
    const answer = await this.client.startRun({
      task,
      run,
      specification,
      leaseEndMs: Math.floor(sentAtMs + (this.clockOffsetMs ?? 0) + maxLeaseMs),
      fencingToken: fencingToken(),
    });
    if (!this.isClosed) {
      this.metrics.recordStart(answer.kind, this.clock.now() - sentAtMs);
      this.handleStartAnswer(task, run, answer);
      this.options.onChange();
    }
  }

  /**
   * Sends an order to stop a run until it is answered or the run is over. A start that got no answer
   * may be carried out later, so that its run is over only when a stop has been answered.
   */
  async stopRun(task: TaskId, run: number, isStartUnanswered = false): Promise<void> {
    this.wakeUp();
    while (!this.isClosed && (isStartUnanswered || this.server.runs.get(task)?.run === run)) {
      const answer = await this.client.stopRun(task, run, this.options.fencingToken());
      if (this.isClosed) {
        return;
      }
      switch (answer.kind) {
        case 'accepted':
        case 'refused':
          this.engine.confirmOrder(this.server.report.id, task, run, this.clock.now());
          // A run that never began is not listed when it is stopped; a look tells.
          await this.clock.pause(this.options.stopTimeoutMs + LEASE_MARGIN_MS);
          if (!this.isClosed && this.server.runs.get(task)?.run === run) {
            await this.renewLeases(0);
          }
          return;
        case 'fenced':
          this.options.onFenced();
          return;
        case 'other-life':
          this.endAllRuns('another life of the server answered');
          return;
        case 'not-sent':
        case 'no-answer':
          await this.clock.pause(UNREACHABLE_PAUSE_MS);
          break;
        default:
          answer satisfies never;
      }
    }
  }

  /** Asks for a confirmation with a new fencing token before anything else starts. */
  requestConfirmation(): void {
    this.server.state = 'unconfirmed';
    this.confirmationRequestedAtMs = this.clock.now();
    if (this.renewalsInProgress > 0) {
      // The look in progress may wait for the end of a run.
      void this.renewLeases(0);
    } else {
      this.wakeUp();
    }
  }

  /** Tells whether all that the server runs is over. */
  isIdle(): boolean {
    return this.server.runs.size === 0;
  }

  /** Tells whether the last call found nobody listening at the server's address. */
  isConnectionRefused(): boolean {
    return this.wasConnectionRefused;
  }

  /** Ends the session; the server's runs go on until their leases lapse. */
  close(): void {
    this.isClosed = true;
    this.wakeUp();
    this.client.close();
  }

  private isRenewalDue(): boolean {
    return (
      this.server.state === 'unconfirmed' ||
      this.server.runs.size > 0 ||
      (this.hasUnacknowledgedEnds &&
        this.clock.now() - this.lastEndAtMs >= IDLE_ACKNOWLEDGE_DELAY_MS)
    );
  }

  private computeRenewalWaitMs(): number {
    if (this.server.state === 'unconfirmed') {
      return 0;
    }
    const nowMs = this.clock.now();
    let waitMs = RENEWAL_WAIT_MS;
    this.server.runs.forEach((run) => {
      const untilEndMs = run.startedAtMs + run.expectedMs - nowMs;
      const overdueMs = Math.max(0, -untilEndMs);
      // The later a run is, the less often it is worth a look.
      waitMs = Math.min(waitMs, Math.max(untilEndMs, overdueMs) + EXPECTED_END_SLACK_MS);
    });
    return Math.round(Math.max(MIN_RENEWAL_WAIT_MS, waitMs));
  }

  private async waitForWork(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.wake = resolve;
      if (this.hasUnacknowledgedEnds) {
        const idleMs = this.clock.now() - this.lastEndAtMs;
        void this.clock.pause(Math.max(1, IDLE_ACKNOWLEDGE_DELAY_MS - idleMs)).then(resolve);
      }
    });
    this.wake = undefined;
  }

  private wakeUp(): void {
    this.wake?.();
  }

  private async renewLeases(waitMs: number): Promise<void> {
    const { fencingToken, maxLeaseMs } = this.options;
    const sentAtMs = this.clock.now();
    const canExtend =
      this.clockOffsetMs !== undefined &&
      this.server.runs.size > 0 &&
      this.unansweredCalls === 0 &&
      !this.server.hasUnclaimedRuns();
    if (canExtend) {
      this.leaseExtendedAtMs = sentAtMs;
    }
    this.metrics.recordLeaseRenewal();
    this.renewalsInProgress += 1;
    const state = await this.client.renewLeases({
      fencingToken: fencingToken(),
      acknowledged: this.acknowledgedSequence,
      leaseEndMs: canExtend ? Math.floor(sentAtMs + this.clockOffsetMs! + maxLeaseMs) : undefined,
      waitMs,
    });
    this.renewalsInProgress -= 1;
    if (this.isClosed) {
      return;
    }
    switch (state.kind) {
      case 'state':
        this.applyState(state, sentAtMs);
        this.options.onChange();
        if (this.server.state === 'unconfirmed') {
          await this.clock.pause(CONFIRM_PAUSE_MS);
        }
        return;
      case 'fenced':
        this.options.onFenced();
        await this.clock.pause(UNREACHABLE_PAUSE_MS);
        return;
      case 'other-life':
        this.endAllRuns('another life of the server answered');
        await this.clock.pause(UNREACHABLE_PAUSE_MS);
        return;
      case 'no-answer':
        this.wasConnectionRefused = state.isRefused;
        await this.handleNoAnswer(state.reason);
        return;
      default:
        state satisfies never;
    }
  }

  private applyState(state: Extract<ServerState, { kind: 'state' }>, sentAtMs: number): void {
    const nowMs = this.clock.now();
    const { id } = this.server.report;
    this.wasConnectionRefused = false;
    if (this.unansweredCalls > 0) {
      this.log.info({ server: id, unansweredCalls: this.unansweredCalls }, 'server answers again');
      this.unansweredCalls = 0;
    }
    if (this.serverStartedAtMs !== undefined && state.bornMs !== this.serverStartedAtMs) {
      this.endAllRuns('the server has started anew');
      this.acknowledgedSequence = 0;
    }
    this.serverStartedAtMs = state.bornMs;
    this.clockOffsetMs = state.clockMs - nowMs;
    const wasUnconfirmed = this.server.state === 'unconfirmed';
    if (wasUnconfirmed) {
      // What was taken for over while the server was out of reach may run on.
      this.recentEnds.clear();
    }
    state.running.forEach(({ task, run, percent }) => {
      const known = this.server.runs.get(task);
      if (known === undefined) {
        if (!this.recentEnds.has(`${task}/${run}`)) {
          this.adoptRun(task, run);
        }
      } else if (known.run === run) {
        known.percent = percent;
      }
    });
    state.ended.forEach(({ sequence, task, run, how }) => {
      if (sequence > this.acknowledgedSequence) {
        this.recordEnd(task, run);
        this.engine.endRun(id, task, run, how, nowMs);
        this.acknowledgedSequence = sequence;
        this.hasUnacknowledgedEnds = true;
        this.lastEndAtMs = nowMs;
      }
    });
    if (state.ended.length === 0) {
      this.hasUnacknowledgedEnds = false;
    }
    this.endUnlistedRuns(state, sentAtMs, nowMs);
    if (wasUnconfirmed && sentAtMs >= this.confirmationRequestedAtMs) {
      this.server.state = 'usable';
      this.options.onConfirmed();
    }
  }

  private adoptRun(task: TaskId, run: number): void {
    this.log.info({ server: this.server.report.id, task, run }, 'unknown run found on a server');
    this.engine.adoptRun(this.server, task, run, this.clock.now());
    this.options.onUnknownRun();
  }

  /** Ends the runs that the server does not list although it has answered their last order. */
  private endUnlistedRuns(
    state: Extract<ServerState, { kind: 'state' }>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const running = new Set(state.running.map(({ task, run }) => `${task}/${run}`));
    const isOver = (run: EngineRun): boolean => {
      if (run.answeredAtMs === undefined || running.has(`${run.task}/${run.run}`)) {
        return false;
      }
      const maxStopMs =
        run.state === 'stopping' ? this.options.stopTimeoutMs * MAX_CLOCK_DRIFT_FACTOR : 0;
      return run.answeredAtMs + maxStopMs <= sentAtMs;
    };
    [...this.server.runs.values()].filter(isOver).forEach((run) => {
      this.recordEnd(run.task, run.run);
      this.engine.endRun(this.server.report.id, run.task, run.run, 'lost', nowMs);
    });
  }

  private async handleNoAnswer(reason: string): Promise<void> {
    const nowMs = this.clock.now();
    const { id } = this.server.report;
    if (this.unansweredCalls === 0) {
      this.log.warn({ server: id, reason, runs: this.server.runs.size }, 'server does not answer');
    }
    this.unansweredCalls += 1;
    this.server.state = 'unconfirmed';
    if (this.unansweredCalls <= TOLERATED_UNANSWERED_CALLS) {
      return;
    }
    const maxLeaseTermMs = this.options.maxLeaseMs * MAX_CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;
    if (this.server.runs.size > 0 && nowMs >= this.leaseExtendedAtMs + maxLeaseTermMs) {
      this.endAllRuns('leases have lapsed without an answer');
    }
    await this.clock.pause(UNREACHABLE_PAUSE_MS);
  }

  private endAllRuns(reason: string): void {
    const nowMs = this.clock.now();
    const runs = [...this.server.runs.values()];
    if (runs.length > 0) {
      this.log.warn({ server: this.server.report.id, runs: runs.length, reason }, 'runs lost');
    }
    runs.forEach((run) => {
      this.engine.endRun(this.server.report.id, run.task, run.run, 'lost', nowMs);
    });
    this.options.onChange();
  }

  private handleStartAnswer(task: TaskId, run: number, answer: OrderAnswer): void {
    const { id } = this.server.report;
    const nowMs = this.clock.now();
    switch (answer.kind) {
      case 'accepted':
        this.engine.confirmOrder(id, task, run, nowMs);
        return;
      case 'fenced':
        this.engine.endRun(id, task, run, 'lost', nowMs);
        this.options.onFenced();
        return;
      case 'refused':
      case 'other-life':
      case 'not-sent':
        this.log.info({ server: id, task, run, answer }, 'start refused');
        this.engine.handleRefusedStart(id, task, run, nowMs);
        return;
      case 'no-answer':
        this.log.warn({ server: id, task, run, reason: answer.reason }, 'start not answered');
        this.engine.handleUnansweredStart(id, task, run, nowMs);
        return;
      default:
        answer satisfies never;
    }
  }

  private recordEnd(task: TaskId, run: number): void {
    this.recentEnds.add(`${task}/${run}`);
    if (this.recentEnds.size > MAX_RECENT_ENDS) {
      const [oldest] = this.recentEnds;
      this.recentEnds.delete(oldest!);
    }
  }
}
