/* eslint-disable no-await-in-loop -- each call depends on the answer to the one before */
import type Logger from 'bunyan';
import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import type { JobEngine } from '@guavaspindle/kernel/engine/job-engine';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { OrderResult } from '@guavaspindle/platform-adapter/servers/order-result';
import type { ServerApi } from '@guavaspindle/platform-adapter/servers/server-api';
import type { LeaseRenewalResult } from '@guavaspindle/platform-adapter/servers/lease-renewal-result';
import type { AbsentRun } from './absent-run';
import { buildLostRunsFields } from './build-lost-runs-fields';
import { computeRenewalWaitMs } from './compute-renewal-wait-ms';
import { InterruptibleWait } from './interruptible-wait';
import { LeaseHorizon } from './lease-horizon';
import { listAbsentRuns } from './list-absent-runs';
import type { PoolMetrics } from './pool-metrics';
import { ReportMatch } from './report-match';
import type { ServerLife } from './server-life';
import { ServerLives } from './server-lives';
import type { SessionOptions } from './session-options';

/** Consecutive calls that may stay unanswered before the server counts as unreachable. */
const TOLERATED_UNANSWERED_CALLS = 1;
/** Network delay allowed for when waiting for a stop to end. */
const STOP_MARGIN_MS = 50;
/** The last ends of an idle server are acknowledged after this delay, unless a run starts before. */
const IDLE_ACKNOWLEDGE_DELAY_MS = 500;
/** Pause between attempts to reach a server that does not answer. */
const UNREACHABLE_PAUSE_MS = 200;
/** Pause before the next renewal if the last answer has not settled what the server runs. */
const CONFIRM_PAUSE_MS = 10;

type ServerState = Extract<LeaseRenewalResult, { kind: 'state' }>;

/** Communicates with one backend server: sends orders, renews leases and reads the ends of runs. */
export class ServerSession {
  private isClosed = false;

  private wake: (() => void) | undefined;

  private readonly lives = new ServerLives();

  private readonly leases: LeaseHorizon;

  private readonly reportMatch: ReportMatch;

  private unansweredCalls = 0;

  private wasConnectionRefused = false;

  private renewalsInProgress = 0;

  /** Ends when the server is to be confirmed, or the session is closed, while ends are held back. */
  private readonly endHold = new InterruptibleWait();

  /** Resolves when the server is confirmed; undefined while no confirmation is in progress. */
  private confirmation: Promise<void> | undefined;

  /** Only a renewal sent at this time or later confirms the server; own monotonic milliseconds. */
  private confirmationRequestedAtMs = 0;

  constructor(
    private readonly server: EngineServer,
    private readonly client: ServerApi,
    private readonly engine: JobEngine,
    private readonly options: SessionOptions,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly metrics: PoolMetrics,
  ) {
    // An earlier leader may have extended leases until just now.
    this.leases = new LeaseHorizon(clock.now(), options.maxLeaseMs);
    const { reports: knowledge, onChange: onConfirmed } = options;
    this.reportMatch = new ReportMatch(server, { clock, log, knowledge, onConfirmed });
  }

  /** Polls the server until the session is closed; never rejects. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.options.isFenced()) {
        // Until there is a higher token, each call would be refused, or accepted by a life that knows no token.
        await this.waitForToken();
      } else if (this.server.state === 'unconfirmed') {
        await this.confirm();
      } else if (this.lives.present?.hasDoubtfulRuns(this.server.runs) === true) {
        await this.renewLeases(0);
        await this.clock.pause(CONFIRM_PAUSE_MS);
      } else if (this.isRenewalDue()) {
        await this.renewLeases(computeRenewalWaitMs(this.server.runs.values(), this.clock.now()));
      } else {
        await this.waitForWork();
      }
    }
  }

  /** Sends an order to start a run. */
  async startRun(task: TaskId, run: number, specification: string): Promise<void> {
    const { fencingToken, maxLeaseMs } = this.options;
    const token = fencingToken();
    this.wakeUp();
    const sentAtMs = this.clock.now();
    const call = this.leases.openCall('start', sentAtMs, this.lives.present);
    const answer = await this.client.startRun({
      task,
      run,
      specification,
      leaseEndMs: this.lives.computeServerMs(sentAtMs + maxLeaseMs),
      leaseMs: maxLeaseMs,
      fencingToken: token,
    });
    this.leases.settleStart(call, answer, this.clock.now());
    if (!this.isClosed) {
      this.metrics.recordStart(answer.kind, this.clock.now() - sentAtMs);
      this.handleStartAnswer(task, run, answer, token);
      if (answer.kind !== 'accepted') {
        // A start that was carried out frees nothing for other tasks.
        this.options.onChange();
      }
    }
  }

  /**
   * Repeats the order to stop a run until the server answers it or the run has ended. A start that got
   * no answer may still be carried out later, so its run has ended only once a stop is answered.
   */
  async stopRun(task: TaskId, run: number, isStartUnanswered = false): Promise<void> {
    this.wakeUp();
    while (!this.isClosed && (isStartUnanswered || this.server.runs.get(task)?.run === run)) {
      if (this.options.isFenced()) {
        await this.clock.pause(UNREACHABLE_PAUSE_MS);
        // eslint-disable-next-line no-continue -- the order may follow with a higher token
        continue;
      }
      const sentAtMs = this.clock.now();
      const token = this.options.fencingToken();
      const answer = await this.client.stopRun(task, run, token);
      if (this.isClosed) {
        return;
      }
      switch (answer.kind) {
        case 'accepted':
        case 'refused':
          this.engine.confirmOrder(this.server.report.id, task, run, this.clock.now());
          // Stopping a run that never began reports no end; a renewal shows that it is not listed.
          await this.clock.pause(this.options.stopTimeoutMs + STOP_MARGIN_MS);
          if (!this.isClosed && this.server.runs.get(task)?.run === run) {
            await this.renewLeases(0);
          }
          return;
        case 'fenced':
          this.handleFence(token);
          break;
        case 'other-life':
          this.handleOtherLife(sentAtMs);
          if (this.server.runs.get(task)?.run !== run) {
            return;
          }
          // Its start is still under way, and may reach a life that comes later.
          await this.clock.pause(UNREACHABLE_PAUSE_MS);
          break;
        case 'not-sent':
        case 'no-answer':
          await this.clock.pause(UNREACHABLE_PAUSE_MS);
          break;
        default:
          answer satisfies never;
      }
    }
  }

  /**
   * Starts nothing on the server until it has answered a renewal that is sent from now on with the
   * current fencing token.
   */
  requestConfirmation(): void {
    this.server.state = 'unconfirmed';
    this.confirmationRequestedAtMs = this.clock.now();
    this.endHold.endWaits();
    if (this.renewalsInProgress > 0) {
      // The server may hold the renewal in progress open until a run ends.
      void this.confirm();
    } else {
      this.wakeUp();
    }
  }

  /** Asks the server which life it is if its report, which has changed, names another one than has answered. */
  handleReport(): void {
    if (this.server.hasForeignReport()) {
      this.requestConfirmation();
      void this.reportMatch.waitForMatch();
    }
  }

  /** Tells whether no run is in progress on the server. */
  isIdle(): boolean {
    return this.server.runs.size === 0;
  }

  /** Tells whether nothing listened at the server's address at the last call. */
  isConnectionRefused(): boolean {
    return this.wasConnectionRefused;
  }

  /** Closes the session; the server's runs continue until their leases expire. */
  close(): void {
    this.isClosed = true;
    this.reportMatch.close();
    this.endHold.endWaits();
    this.wakeUp();
    this.client.close();
  }

  /** Calls the server until it is confirmed, one call at a time however often that is requested. */
  private async confirm(): Promise<void> {
    this.confirmation ??= this.renewUntilConfirmed();
    await this.confirmation;
  }

  private async renewUntilConfirmed(): Promise<void> {
    while (!this.isClosed && this.server.state === 'unconfirmed' && !this.options.isFenced()) {
      await this.renewLeases(0);
    }
    this.confirmation = undefined;
    this.wakeUp();
  }

  private isRenewalDue(): boolean {
    const life = this.lives.present;
    return (
      this.server.runs.size > 0 ||
      (life?.hasUnacknowledgedEnds === true &&
        this.clock.now() - life.lastEndAtMs >= IDLE_ACKNOWLEDGE_DELAY_MS)
    );
  }

  private async waitForWork(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.wake = resolve;
      const life = this.lives.present;
      if (life?.hasUnacknowledgedEnds === true) {
        const idleMs = this.clock.now() - life.lastEndAtMs;
        void this.clock.pause(Math.max(1, IDLE_ACKNOWLEDGE_DELAY_MS - idleMs)).then(resolve);
      }
    });
    this.wake = undefined;
  }

  /** Waits while the server must not be called with the current fencing token. */
  private async waitForToken(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.wake = resolve;
      void this.clock.pause(UNREACHABLE_PAUSE_MS).then(resolve);
    });
    this.wake = undefined;
  }

  private wakeUp(): void {
    this.wake?.();
  }

  private async renewLeases(waitMs: number): Promise<void> {
    const { fencingToken, maxLeaseMs } = this.options;
    const sentAtMs = this.clock.now();
    const life = this.lives.present;
    const canExtend =
      this.server.runs.size > 0 && this.unansweredCalls === 0 && !this.server.hasUnclaimedRuns();
    const call = canExtend ? this.leases.openCall('renewal', sentAtMs, life) : undefined;
    this.metrics.recordLeaseRenewal();
    this.options.onRenewalSent();
    this.renewalsInProgress += 1;
    const terms = life?.buildTerms(canExtend ? sentAtMs + maxLeaseMs : undefined);
    const token = fencingToken();
    const result = await this.client.renewLeases({ fencingToken: token, terms, waitMs });
    this.renewalsInProgress -= 1;
    if (call !== undefined) {
      this.leases.settleRenewal(call, result.kind !== 'no-answer', this.clock.now());
    }
    if (this.isClosed) {
      return;
    }
    switch (result.kind) {
      case 'state':
        this.applyState(result, sentAtMs);
        this.options.onChange();
        // The ends that were read are acknowledged once they have been delivered, also if the wait ends before.
        await this.endHold.waitFor(this.lives.present?.confirmEnds(this.options.endDeliveries));
        if (this.server.state === 'unconfirmed') {
          await this.clock.pause(CONFIRM_PAUSE_MS);
        }
        return;
      case 'fenced':
        this.handleFence(token);
        return;
      case 'other-life':
        this.handleOtherLife(sentAtMs);
        await this.clock.pause(UNREACHABLE_PAUSE_MS);
        return;
      case 'no-answer':
        this.wasConnectionRefused = result.isConnectFailure;
        await this.handleNoAnswer(result.reason, sentAtMs);
        return;
      default:
        result satisfies never;
    }
  }

  private applyState(state: ServerState, sentAtMs: number): void {
    const nowMs = this.clock.now();
    const { id } = this.server.report;
    this.wasConnectionRefused = false;
    const observation = this.lives.recordAnswer(state, sentAtMs, nowMs, this.server.runs.values());
    const { kind, life } = observation;
    if (kind === 'stale') {
      const { serverStartedAtMs: startedAtMs } = state;
      const { startedAtMs: presentStartedAtMs } = life;
      this.log.info({ server: id, startedAtMs, presentStartedAtMs }, 'answer of an earlier life');
      return;
    }
    this.leases.confirmLife(life.startedAtMs, sentAtMs);
    const hasBeenSilent = this.unansweredCalls > 0;
    if (hasBeenSilent) {
      const { unansweredCalls } = this;
      const { startedAtMs } = life;
      this.log.info({ server: id, unansweredCalls, startedAtMs }, 'server answers again');
      this.unansweredCalls = 0;
    }
    const wasUnconfirmed = this.server.state === 'unconfirmed';
    this.server.lifeStartedAtMs = life.startedAtMs;
    if (kind !== 'same') {
      void this.reportMatch.waitForMatch();
    }
    this.applyRunning(state, life, sentAtMs);
    this.applyEnds(state, life, sentAtMs);
    this.endAbsentRuns(state, life, sentAtMs);
    if (kind === 'later') {
      const { startedAtMs: earlierStartedAtMs } = observation.earlier;
      const { startedAtMs } = life;
      this.log.info({ server: id, earlierStartedAtMs, startedAtMs }, 'server has started again');
      this.server.clearHealth();
    }
    if (kind !== 'same' || hasBeenSilent || wasUnconfirmed) {
      const listed = [...state.running, ...state.ended].map(({ task }) => task);
      this.engine.resolveServer(id, life.startedAtMs, nowMs, listed);
    }
    if (wasUnconfirmed && sentAtMs >= this.confirmationRequestedAtMs) {
      this.server.state = 'usable';
      this.options.onConfirmed();
    }
  }

  private applyRunning({ running }: ServerState, life: ServerLife, sentAtMs: number): void {
    running.forEach(({ task, run, progressPercent }) => {
      const known = this.server.runs.get(task);
      if (known === undefined) {
        if (!life.hasEndedSince(task, run, sentAtMs)) {
          this.adoptRun(task, run);
        }
      } else if (known.run === run) {
        known.percent = progressPercent;
        known.wasSeen = true;
        life.claimRun(known);
      }
    });
  }

  private applyEnds({ ended }: ServerState, life: ServerLife, sentAtMs: number): void {
    const { id } = this.server.report;
    const nowMs = this.clock.now();
    const { startedAtMs } = life;
    ended.forEach(({ sequence, task, run, outcome }) => {
      if (life.recordListedEnd(sequence, task, run, nowMs)) {
        if (outcome === 'failed') {
          this.log.info({ server: id, startedAtMs, task, run }, 'run failed');
        } else if (outcome === 'done') {
          life.holdEnd(sequence, this.options.endDeliveries.openDelivery(task));
        }
        this.engine.endRun(id, task, run, outcome, nowMs);
      }
    });
    if (ended.length === 0 && sentAtMs >= life.lastEndAtMs) {
      life.hasUnacknowledgedEnds = false;
    }
  }

  /**
   * Ends the runs that a life of the server proves to be over by not listing them: those that were ordered before it
   * was known have ended with an earlier life.
   */
  private endAbsentRuns({ running }: ServerState, life: ServerLife, sentAtMs: number): void {
    const absent = listAbsentRuns(this.server.runs.values(), {
      sentAtMs,
      running: new Set(running.map(({ task, run }) => `${task}/${run}`)),
      stopTimeoutMs: this.options.stopTimeoutMs,
    });
    const crashed = absent.filter((run) => life.hasInherited(run));
    this.endRuns(crashed, 'the server has restarted', sentAtMs);
    const nowMs = this.clock.now();
    absent
      .filter((run) => !crashed.includes(run))
      .forEach(({ task, run }) => {
        life.recordEnd(task, run, nowMs);
        this.engine.endRun(this.server.report.id, task, run, 'lost', nowMs);
      });
  }

  /** Records that a call with a fencing token was refused, unless a higher one is used by now. */
  private handleFence(token: number): void {
    if (token === this.options.fencingToken()) {
      this.options.onFenced();
    }
  }

  private handleOtherLife(sentAtMs: number): void {
    const { stopTimeoutMs } = this.options;
    const listing = { sentAtMs, running: undefined, stopTimeoutMs };
    const absent = listAbsentRuns(this.server.runs.values(), listing);
    this.endRuns(absent, 'another incarnation of the server answered', sentAtMs);
    // Runs that are left may be on a life that came later: the next answer decides on its silences.
    if (this.isIdle() && this.lives.isPresentAt(sentAtMs)) {
      this.engine.resolveServer(this.server.report.id, undefined, this.clock.now());
    }
    this.options.onChange();
  }

  private adoptRun(task: TaskId, run: number): void {
    this.log.info(
      { server: this.server.report.id, task, run },
      'server lists a run that this leader has not started',
    );
    this.engine.adoptRun(this.server, task, run, this.clock.now());
    this.options.onUnknownRun();
  }

  private async handleNoAnswer(reason: string, sentAtMs: number): Promise<void> {
    const nowMs = this.clock.now();
    const { id } = this.server.report;
    if (this.unansweredCalls === 0) {
      this.log.warn({ server: id, reason, runs: this.server.runs.size }, 'server does not answer');
      this.engine.recordSilence(id, nowMs);
      this.options.onChange();
    }
    this.unansweredCalls += 1;
    this.server.state = 'unconfirmed';
    // Answers to calls that were sent before may have been made before the silence.
    this.confirmationRequestedAtMs = nowMs;
    if (this.unansweredCalls <= TOLERATED_UNANSWERED_CALLS) {
      return;
    }
    if (this.server.runs.size > 0 && this.leases.isOver(nowMs)) {
      const runs = [...this.server.runs.values()];
      this.reportLostRuns(runs, 'leases have expired without an answer', sentAtMs);
      runs.forEach(({ task, run }) => this.engine.endRun(id, task, run, 'unreachable', nowMs));
      this.options.onChange();
    }
    await this.clock.pause(UNREACHABLE_PAUSE_MS);
  }

  /** Ends runs of a life that is over. */
  private endRuns(runs: readonly AbsentRun[], reason: string, callSentAtMs: number): void {
    this.reportLostRuns(runs, reason, callSentAtMs);
    const nowMs = this.clock.now();
    runs.forEach(({ task, run }) => {
      this.engine.endRun(this.server.report.id, task, run, 'crashed', nowMs);
    });
  }

  private reportLostRuns(runs: readonly EngineRun[], reason: string, callSentAtMs: number): void {
    if (runs.length > 0) {
      const server = this.server.report.id;
      const presentStartedAtMs = this.lives.present?.startedAtMs;
      const lost = { reason, server, callSentAtMs, presentStartedAtMs, runs };
      this.log.warn(buildLostRunsFields(lost, this.clock.now()), 'runs lost');
    }
  }

  private handleStartAnswer(task: TaskId, run: number, answer: OrderResult, token: number): void {
    const { id } = this.server.report;
    const nowMs = this.clock.now();
    const ordered = this.server.runs.get(task);
    if (ordered?.run === run) {
      ordered.startSettledAtMs = nowMs;
    }
    switch (answer.kind) {
      case 'accepted':
        this.engine.confirmOrder(id, task, run, nowMs);
        if (ordered?.state === 'stopping') {
          // A stop that was answered before may have been answered by an earlier life.
          void this.stopRun(task, run);
        }
        return;
      case 'fenced':
        this.engine.endRun(id, task, run, 'lost', nowMs);
        this.handleFence(token);
        return;
      case 'refused':
      case 'other-life':
      case 'not-sent':
        this.log.info({ server: id, task, run, answer }, 'start not carried out');
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
}
