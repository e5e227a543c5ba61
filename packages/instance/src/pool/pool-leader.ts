import type { EngineEffect } from '@guavaspindle/kernel/engine/engine-effect';
import type { HandedJob } from '@guavaspindle/kernel/engine/handed-job';
import { JobEngine } from '@guavaspindle/kernel/engine/job-engine';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { EntryPort } from '../links/entry-port';
import type { FleetListener } from '../store/fleet-listener';
import type { PoolOptions } from './pool-options';
import { ServerSession } from './server-session';

/** Unknown runs found on a server are stopped unless their jobs have been handed in by then. */
const CLAIM_GRACE_MS = 400;
/** An instance that has lost its link may open another one before its jobs are dropped. */
const OWNER_GRACE_MS = 300;
/**
 * A server whose entry is gone is asked for its runs for so long: an earlier leader that is cut off
 * together with it may use it on. Longer cuts are told by the entry instances behind them.
 */
const KEEP_GONE_MS = 60_000;
/** Waiting tasks are looked at again this often: blocks and pauses end without an event. */
const TICK_MS = 25;

/** Leads a pool of backend servers: runs the engine's orders and passes outcomes to the entries. */
export class PoolLeader implements FleetListener {
  private readonly engine: JobEngine;

  private readonly sessions = new Map<ServerId, ServerSession>();

  /** Servers whose entries are gone, and since when; monotonic milliseconds. */
  private readonly gone = new Map<ServerId, number>();

  private readonly entries = new Map<InstanceName, EntryPort>();

  private readonly lostEntries = new Map<InstanceName, number>();

  private isTurnDue = false;

  private isClosed = false;

  private token: number;

  private readonly ticker: NodeJS.Timeout;

  /** When a run was last found that no open job claims; undefined if none is left to stop. */
  private unknownFoundMs: number | undefined;

  constructor(private readonly options: PoolOptions) {
    this.token = options.fencingToken;
    this.engine = new JobEngine(options.domain === undefined);
    this.ticker = setInterval(() => this.runTick(), TICK_MS);
  }

  /** Open jobs. */
  get openJobs(): number {
    return this.engine.openJobs;
  }

  adoptServer(report: ServerReport): void {
    if (this.options.domain !== undefined && report.domain !== this.options.domain) {
      return;
    }
    this.gone.delete(report.id);
    const known = this.engine.fleet.findServer(report.id);
    if (known !== undefined && known.report.address !== report.address) {
      this.closeSession(report.id);
    }
    const server = this.engine.fleet.adoptReport(report);
    if (!this.sessions.has(report.id)) {
      this.openSession(report, server);
    }
    this.requestTurn();
  }

  dropServer(id: ServerId): void {
    const server = this.engine.fleet.findServer(id);
    if (server !== undefined) {
      server.report = { ...server.report, isDraining: true };
      this.gone.set(id, this.options.clock.now());
      this.sessions.get(id)?.confirmAnew();
    }
  }

  /** Connects an entry instance. */
  addEntry(name: InstanceName, port: EntryPort): void {
    this.entries.set(name, port);
    this.lostEntries.delete(name);
    this.engine.markSilence(name, false);
  }

  /** Notes that an entry instance's link is gone; its jobs are dropped unless it comes back. */
  dropEntry(name: InstanceName, port: EntryPort): void {
    if (this.entries.get(name) === port) {
      this.entries.delete(name);
      this.lostEntries.set(name, this.options.clock.now());
      this.engine.markSilence(name, true);
    }
  }

  /** Takes a job from an entry instance. */
  submitJob(handed: HandedJob): void {
    if (handed.runsMayLiveMs > 0) {
      // Another leader may have used servers since they last answered; their lists tell.
      this.confirmAll();
    }
    this.engine.submitJob(handed, this.options.clock.now());
    this.requestTurn();
  }

  /** Cancels a job; false if it is not known. */
  cancelJob(id: JobId): boolean {
    const isKnown = this.engine.cancelJob(id, 'cancelled', this.options.clock.now());
    this.requestTurn();
    return isKnown;
  }

  /** Notes that the caller of a job has left the instance. */
  dropCaller(id: JobId, owner: InstanceName): void {
    this.engine.dropCaller(id, owner, this.options.clock.now());
    this.requestTurn();
  }

  /** Goes on with a higher fencing token, after another instance has used one. */
  adoptToken(token: number): void {
    this.token = token;
    this.confirmAll();
  }

  /** Tells all entry instances that the lead is given up. */
  reportLeaving(): void {
    this.entries.forEach((port) => port.reportLeaving());
  }

  /** Stops leading at once; runs go on for whoever leads next. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.ticker);
    this.sessions.forEach((session) => session.close());
    this.sessions.clear();
    this.entries.forEach((port) => port.endLink());
  }

  private confirmAll(): void {
    this.sessions.forEach((session) => session.confirmAnew());
  }

  private openSession(
    report: ServerReport,
    server: ReturnType<JobEngine['fleet']['adoptReport']>,
  ): void {
    const { clock, log, metrics, maxLeaseMs, stopTimeoutMs } = this.options;
    const session = new ServerSession(
      server,
      this.options.openServer(report),
      this.engine,
      {
        maxLeaseMs,
        stopTimeoutMs,
        fencingToken: () => this.token,
        onChange: () => this.requestTurn(),
        onConfirmed: () => this.handleConfirmed(),
        onUnknownRun: () => this.handleUnknownRun(),
        onFenced: () => this.options.onFenced(),
      },
      clock,
      log,
      metrics,
    );
    this.sessions.set(report.id, session);
    void session.run();
  }

  private closeSession(id: ServerId): void {
    this.sessions.get(id)?.close();
    this.sessions.delete(id);
    const server = this.engine.fleet.findServer(id);
    const nowMs = this.options.clock.now();
    [...(server?.runs.values() ?? [])].forEach((run) => {
      this.engine.endRun(id, run.task, run.run, 'lost', nowMs);
    });
    this.engine.fleet.dropServer(id);
  }

  private handleUnknownRun(): void {
    if (this.options.domain === undefined) {
      // The instance that waits for the job may be about to hand it in.
      this.unknownFoundMs = this.options.clock.now();
    } else {
      this.engine.stopUnclaimed();
    }
  }

  private handleConfirmed(): void {
    const isWhole =
      this.options.domain === undefined &&
      [...this.engine.fleet.listServers()].every(({ state }) => state === 'usable');
    if (isWhole) {
      // Every run that an earlier leader may have ordered is listed now.
      this.engine.releaseBlocks();
    }
    this.requestTurn();
  }

  private runTick(): void {
    const nowMs = this.options.clock.now();
    if (this.unknownFoundMs !== undefined && nowMs - this.unknownFoundMs >= CLAIM_GRACE_MS) {
      this.unknownFoundMs = undefined;
      this.engine.stopUnclaimed();
    }
    this.lostEntries.forEach((sinceMs, name) => {
      if (nowMs - sinceMs >= OWNER_GRACE_MS) {
        this.lostEntries.delete(name);
        this.options.log.warn({ entry: name }, 'jobs of a lost instance are dropped');
        this.engine.dropOwner(name, nowMs);
      }
    });
    this.entries.forEach((port, name) => this.engine.markSilence(name, port.isSilent()));
    this.gone.forEach((sinceMs, id) => this.checkGone(id, nowMs - sinceMs));
    this.runTurn();
  }

  /** Closes the session of a server whose entry is gone once no leader can have runs there. */
  private checkGone(id: ServerId, goneForMs: number): void {
    const session = this.sessions.get(id);
    const isOver = session?.isRefusing() === true || goneForMs >= KEEP_GONE_MS;
    if (session === undefined || (isOver && session.isIdle())) {
      this.gone.delete(id);
      this.closeSession(id);
    }
  }

  /** Lets all that one turn of the loop brings be handled together. */
  private requestTurn(): void {
    if (!this.isTurnDue) {
      this.isTurnDue = true;
      setImmediate(() => this.runTurn());
    }
  }

  private runTurn(): void {
    this.isTurnDue = false;
    if (this.isClosed) {
      return;
    }
    this.engine.schedule(this.options.clock.now());
    this.engine.takeEffects().forEach((effect) => this.applyEffect(effect));
  }

  private applyEffect(effect: EngineEffect): void {
    switch (effect.kind) {
      case 'start-run':
        void this.sessions
          .get(effect.serverId)
          ?.startRun(effect.task, effect.run, effect.specification);
        return;
      case 'stop-run':
        this.options.log.debug(effect, 'stop');
        void this.sessions
          .get(effect.serverId)
          ?.stopRun(effect.task, effect.run, effect.reason === 'no-answer');
        return;
      case 'report-done':
        this.entries.get(effect.owner)?.reportDone(effect.jobId, effect.task);
        return;
      case 'end-job':
        if (effect.owner !== undefined) {
          this.entries.get(effect.owner)?.endJob(effect.jobId, effect.outcome);
        }
        return;
      default:
        effect satisfies never;
    }
  }
}
