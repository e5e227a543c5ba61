import { CANCEL_RETENTION_MS } from '@guavaspindle/kernel/engine/cancel-retention-ms';
import { CancelledJobs } from '@guavaspindle/kernel/engine/cancelled-jobs';
import type { CrashRecord } from '@guavaspindle/kernel/engine/crash-record';
import type { EngineEffect } from '@guavaspindle/kernel/engine/engine-effect';
import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import { JobEngine } from '@guavaspindle/kernel/engine/job-engine';
import { StartGate } from '@guavaspindle/kernel/engine/start-gate';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import { chooseOpenPart } from '@guavaspindle/kernel/layout/choose-open-part';
import { isServerInPart } from '@guavaspindle/kernel/layout/is-server-in-part';
import type { ClosedDomains } from '../links/closed-domains';
import { cancelTiming } from '../cancels/cancel-timing';
import { readEarlierCancels } from '../cancels/read-earlier-cancels';
import type { EntryPort } from '../links/entry-port';
import { linkTiming } from '../links/link-timing';
import type { EvacuationListener } from '../store/evacuation-listener';
import type { FleetListener } from '../store/fleet-listener';
import { ProcessLoadMeter } from '../process/process-load-meter';
import { DepartedServers } from './departed-servers';
import { EndDeliveries } from './end-deliveries';
import { FencedDomains } from './fenced-domains';
import { FleetKnowledge } from './fleet-knowledge';
import type { PoolOptions } from './pool-options';
import { ServerSession } from './server-session';

/**
 * Runs that belong to no open job are stopped this long after the last unknown run was found, unless
 * their jobs are submitted before.
 */
const UNCLAIMED_RUN_GRACE_MS = 400;
/** An entry instance that has lost its link may reconnect for this long; then its jobs are dropped. */
const RECONNECT_GRACE_MS = 300;
/**
 * Interval of the extra scheduling passes. They are needed because no event signals that the block of
 * a task or the pause of a server has ended.
 */
const TICK_INTERVAL_MS = 25;
/** The same while no job is open. */
const IDLE_TICK_INTERVAL_MS = 100;
/** Interval at which the spare capacity of the part is reported to the entry instances. */
const SPARE_REPORT_INTERVAL_MS = 100;
/** Interval at which the load of the pool is logged and exported. */
const LOAD_REPORT_INTERVAL_MS = 1_000;

/**
 * Leads a part of the backend servers: carries out the engine's effects and passes outcomes to the entry
 * instances.
 */
export class PoolLeader implements FleetListener, EvacuationListener {
  /** Where this leader must not order anything with its present fencing token. */
  readonly fences: FencedDomains;

  private readonly engine: JobEngine;

  private readonly sessions = new Map<ServerId, ServerSession>();

  private readonly departed: DepartedServers;

  /**
   * Servers whose entries name another address or service than before, with their new reports. Their runs
   * may still go on at the old address: only their ends, stops or leases show that they are over.
   */
  private readonly relocations = new Map<ServerId, ServerReport>();

  /** What this leader knows of the servers; undefined for the leader of a domain that is cut off. */
  private readonly knowledge: FleetKnowledge | undefined;

  private readonly entries = new Map<InstanceName, EntryPort>();

  /** When each connected entry instance opened its link, in monotonic milliseconds. */
  private readonly entriesSince = new Map<InstanceName, number>();

  private readonly disconnectedEntries = new Map<InstanceName, number>();

  private isPassQueued = false;

  private readonly endDeliveries: EndDeliveries;

  /** Whether all servers are to be confirmed, before the next pass, for jobs that have arrived. */
  private areConfirmationsDue = false;

  private isClosed = false;

  /** When the event loop last ran a tick or a pass, in monotonic milliseconds. */
  private awakeAtMs: number;

  /** Whether the last pass came after a pause of this process. */
  private wasPaused = false;

  /** When a pause of this process last ended, in monotonic milliseconds; one before this leader is assumed. */
  private pauseEndedAtMs: number;

  /** Whether the cancellations of earlier leaders are known; no task starts before. */
  private areCancelsRead = false;

  /** Cancellations that need not be reported to the entry instances again. */
  private readonly reportedCancels = new CancelledJobs(CANCEL_RETENTION_MS);

  private unreportedCancels: JobId[] = [];

  private cancelsReportedAtMs = -Infinity;

  private fencingToken: number;

  private ticker: NodeJS.Timeout | undefined;

  private readonly meter: ProcessLoadMeter;

  /** Undefined if evacuations are not followed. */
  private readonly startGate: StartGate | undefined;

  private areStartsSuspended = false;

  private closedDomains: ReadonlySet<DomainName> = new Set();

  private loadReportedAtMs: number;

  private spareReportedAtMs = 0;

  private startsSinceReport = 0;

  private renewalsSinceReport = 0;

  private resumedJobsSinceReport = 0;

  /** When this leader began, in monotonic milliseconds; undefined once all servers have been confirmed. */
  private unconfirmedSinceMs: number | undefined;

  /**
   * When a run that this leader did not start was last found, in monotonic milliseconds; undefined if
   * no check for unclaimed runs is due.
   */
  private unknownRunFoundAtMs: number | undefined;

  constructor(private readonly options: PoolOptions) {
    this.fencingToken = options.fencingToken;
    const { remoteFactor, jobLimits } = options;
    this.engine = new JobEngine(
      options.domain === undefined,
      remoteFactor === undefined ? undefined : { remoteFactor },
      jobLimits?.maxOpenItems,
    );
    this.fences = new FencedDomains(() => this.engine.fleet.listServers(), options.onFenced);
    this.departed = new DepartedServers({
      clock: options.clock,
      entries: this.entries,
      findServer: (id) => this.engine.fleet.findServer(id),
      findSession: (id) => this.sessions.get(id),
      findOwner: (task) => this.engine.findOwner(task),
      registerServer: (report) => this.registerServer(report),
      closeSession: (id) => {
        this.closeSession(id);
        // The others may be all that jobs have waited for.
        this.checkWholePool();
      },
    });
    this.endDeliveries = new EndDeliveries(options, this.entries, this.engine, () =>
      this.requestSchedulingPass(),
    );
    this.knowledge =
      options.domain === undefined
        ? new FleetKnowledge(options.fencingToken, {
            clock: options.clock,
            readServers: () => options.readServers(),
            confirmClaim: () => options.confirmClaim(),
            onServersRead: () => this.checkWholePool(),
            onServerConfirmed: (report) => this.registerServer(report),
          })
        : undefined;
    this.loadReportedAtMs = options.clock.now();
    this.unconfirmedSinceMs = this.loadReportedAtMs;
    this.awakeAtMs = this.loadReportedAtMs;
    this.pauseEndedAtMs = this.awakeAtMs - linkTiming.startSuspensionMs;
    this.engine.fleet.setColdLimits(options.coldLimits);
    this.startGate =
      options.evacuations &&
      new StartGate(
        options.evacuations.evacuationMs,
        options.domain === undefined ? this.loadReportedAtMs : undefined,
      );
    this.meter = new ProcessLoadMeter(this.loadReportedAtMs);
    this.scheduleTick();
    void this.knowledge?.readServers();
    void this.readCancels();
  }

  /** Number of open jobs. */
  get openJobs(): number {
    return this.engine.openJobs;
  }

  adoptServer(report: ServerReport, registeredRevision: number): void {
    const { part, domain } = this.options;
    const known = this.engine.fleet.findServer(report.id);
    if (!isServerInPart(part, report) || (domain !== undefined && report.domain !== domain)) {
      this.knowledge?.dropServer(report.id);
      if (known !== undefined && !this.departed.hasServer(report.id)) {
        this.dropServer(report.id);
      }
      return;
    }
    this.relocations.delete(report.id);
    const isElsewhere =
      known !== undefined &&
      (known.report.address !== report.address || known.report.service !== report.service);
    if (isElsewhere) {
      this.options.log.warn(
        {
          server: report.id,
          from: known.report.address,
          to: report.address,
          runs: known.runs.size,
        },
        'server entry names another address or service',
      );
      this.departed.deleteServer(report.id);
      known.report = { ...known.report, isDraining: true };
      this.relocations.set(report.id, report);
      this.sessions.get(report.id)?.requestConfirmation();
      this.checkRelocation(report.id);
      return;
    }
    const isUsed = known !== undefined && !this.departed.hasServer(report.id);
    if (isUsed || this.knowledge?.admitServer(report, registeredRevision) !== false) {
      this.registerServer(report);
    }
  }

  /** Starts nothing more on a server whose store entry has been deleted, but keeps polling it. */
  dropServer(id: ServerId): void {
    this.knowledge?.dropServer(id);
    const server = this.engine.fleet.findServer(id);
    if (server !== undefined) {
      if (!server.report.isDraining) {
        // A crashed server may come back under another id; one that was only cut off clears this itself.
        this.engine.resolveServer(id, undefined, this.options.clock.now());
      }
      this.relocations.delete(id);
      server.report = { ...server.report, isDraining: true };
      this.departed.addServer(server);
      this.sessions.get(id)?.requestConfirmation();
    }
  }

  /** Lists the servers that may have runs, without those that the entry instances may forget. */
  listServers(): readonly ServerReport[] {
    return this.departed.listUnsettled(this.engine.fleet.listServers());
  }

  /** Polls servers without an entry that earlier leaders may have used; resumed jobs wait for their answers too. */
  adoptUnlistedServers(reports: readonly ServerReport[]): void {
    const { part, domain } = this.options;
    if (domain === undefined) {
      this.departed.adoptUnlistedServers(reports.filter((report) => isServerInPart(part, report)));
    }
  }

  setClosedDomains({ domains }: ClosedDomains): void {
    this.closedDomains = domains;
    this.engine.setClosedDomains(domains);
    this.requestSchedulingPass();
  }

  /**
   * Connects an entry instance, maybe again.
   *
   * @param listsJobs - whether the instance submits all its open jobs now and then calls for
   *   `dropUnlistedJobs`; until then nothing is started for jobs that it may no longer have
   */
  addEntry(name: InstanceName, port: EntryPort, listsJobs = false): void {
    this.entries.set(name, port);
    this.entriesSince.set(name, this.options.clock.now());
    this.disconnectedEntries.delete(name);
    this.engine.setOwnerSilent(name, false);
    if (listsJobs) {
      this.engine.markJobsUnlisted(name);
    }
  }

  /** Drops the jobs that an entry instance has not submitted again since it connected. */
  dropUnlistedJobs(name: InstanceName): void {
    const jobs = this.engine.dropUnlistedJobs(name, this.options.clock.now());
    if (jobs.length > 0) {
      this.options.log.info(
        { entry: name, part: this.options.part.id, jobs },
        'callers left while the link was down; dropping their jobs',
      );
    }
    this.requestSchedulingPass();
  }

  /** Records that an entry instance has lost its link; its jobs are dropped unless it reconnects. */
  dropEntry(name: InstanceName, port: EntryPort): void {
    if (this.entries.get(name) === port) {
      this.entries.delete(name);
      this.entriesSince.delete(name);
      this.disconnectedEntries.set(name, this.options.clock.now());
      this.engine.setOwnerSilent(name, true);
    }
  }

  /** Returns whether an entry instance has been connected for at least `minMs` milliseconds. */
  isEntryConnectedFor(name: InstanceName, minMs: number): boolean {
    const sinceMs = this.entriesSince.get(name);
    return sinceMs !== undefined && this.options.clock.now() - sinceMs >= minMs;
  }

  /** Accepts a job from an entry instance. */
  submitJob(submission: EngineSubmission): void {
    this.resumedJobsSinceReport += submission.isResumed ? 1 : 0;
    if (submission.priorRunsExpireInMs > 0) {
      // Another leader may have started runs on the servers since they last answered.
      this.areConfirmationsDue = true;
    }
    this.engine.submitJob(submission, this.options.clock.now());
    this.departed.reportJob(submission.spec.id, submission.owner);
    this.requestSchedulingPass();
  }

  /**
   * Cancels a job; returns false if the job is unknown here.
   *
   * @param isKnown - whether the job is known elsewhere, so that it must not start if it is submitted later
   */
  cancelJob(id: JobId, isKnown = false): boolean {
    const nowMs = this.options.clock.now();
    const isKnownHere = this.engine.cancelJob(id, 'cancelled', nowMs, isKnown);
    if ((isKnown || isKnownHere) && this.reportedCancels.addJob(id, nowMs)) {
      this.unreportedCancels.push(id);
    }
    this.requestSchedulingPass();
    return isKnownHere;
  }

  /** Cancels the jobs that an entry instance knows to be cancelled. */
  recordCancels(ids: readonly JobId[]): void {
    const nowMs = this.options.clock.now();
    ids
      .filter((id) => !this.reportedCancels.hasJob(id, nowMs))
      .forEach((id) => this.cancelJob(id, true));
  }

  /** Records tasks that earlier leaders have told entry instances to be done. */
  recordDoneTasks(tasks: readonly TaskId[]): void {
    tasks.forEach((task) => this.engine.recordDoneTask(task, 0, this.options.clock.now()));
    this.requestSchedulingPass();
  }

  /** Returns whether this process was paused after the given time, as far as it can tell. */
  hasPausedSince(sinceMs: number): boolean {
    const pausedMs = this.options.clock.now() - this.awakeAtMs;
    return this.pauseEndedAtMs > sinceMs || pausedMs > linkTiming.startSuspensionMs;
  }

  /** Ends a job for which no caller waits any more: disconnected, timed out or answered. */
  dropCaller(id: JobId, owner: InstanceName): void {
    this.engine.dropCaller(id, owner, this.options.clock.now());
    this.requestSchedulingPass();
  }

  /** Continues with a higher fencing token after another instance has used one. */
  adoptToken(token: number): void {
    this.fencingToken = token;
    this.fences.clear();
    this.requestAllConfirmations();
    void this.knowledge?.adoptClaim(token);
  }

  /**
   * Tells all entry instances that this instance gives up leadership, to a successor or else to any
   * of them.
   */
  reportLeaving(successor: InstanceName | undefined): void {
    this.entries.forEach((port) => port.reportLeaving(successor));
  }

  /**
   * Stops leading at once without stopping runs; the next leader of all domains may adopt them. The entry
   * instances are told what the next scheduling pass would have told them, and which of their jobs have no runs.
   */
  close(): void {
    this.isClosed = true;
    this.reportPendingEffects();
    this.engine.listUnstartedJobs().forEach((ids, owner) => {
      this.entries.get(owner)?.reportUnstarted(ids);
    });
    this.knowledge?.close();
    clearTimeout(this.ticker);
    this.options.metrics.recordLoad(undefined);
    this.options.onClosed(this);
    this.sessions.forEach((session) => session.close());
    this.sessions.clear();
    this.entries.forEach((port) => port.endLink());
  }

  /**
   * Tells the entry instances what the engine has decided since the last pass. Starts and stops are left out: the
   * jobs of the former count as started, and the next leader stops the runs that belong to no job.
   */
  private reportPendingEffects(): void {
    this.engine
      .takeEffects()
      .filter(({ kind }) => kind !== 'start-run' && kind !== 'stop-run')
      .forEach((effect) => this.applyEffect(effect));
    this.endDeliveries.handlePass();
  }

  private async readCancels(): Promise<void> {
    const { clock, log, part, readCancels } = this.options;
    const beganMs = clock.now();
    const ids = await readEarlierCancels(clock, readCancels, () => this.isClosed);
    const nowMs = clock.now();
    const fields = { part: part.id, jobs: ids?.length, tookMs: Math.round(nowMs - beganMs) };
    if (ids === undefined) {
      log.warn(
        fields,
        'cancellations of earlier leaders not read; entry instances tell what they know',
      );
    } else {
      log.info(fields, 'cancellations of earlier leaders read');
    }
    ids?.forEach((id) => {
      // All instances that lead later read the same records, so the entry instances need not keep these.
      this.reportedCancels.addJob(id, nowMs);
      this.engine.cancelJob(id, 'cancelled', nowMs, true);
    });
    this.areCancelsRead = true;
    this.requestSchedulingPass();
  }

  private reportCancels(nowMs: number): void {
    if (
      this.unreportedCancels.length > 0 &&
      nowMs - this.cancelsReportedAtMs >= cancelTiming.reportIntervalMs
    ) {
      this.cancelsReportedAtMs = nowMs;
      const ids = this.unreportedCancels;
      this.unreportedCancels = [];
      this.entries.forEach((port) => port.reportCancels(ids));
    }
  }

  private requestAllConfirmations(): void {
    this.areConfirmationsDue = false;
    this.sessions.forEach((session) => session.requestConfirmation());
  }

  private registerServer(report: ServerReport): void {
    this.departed.deleteServer(report.id);
    const server = this.engine.fleet.registerServer(report);
    const session = this.sessions.get(report.id) ?? this.openSession(server);
    session.handleReport();
    this.requestSchedulingPass();
  }

  private openSession(server: EngineServer): ServerSession {
    const { report } = server;
    const { clock, log, metrics, maxLeaseMs, stopTimeoutMs } = this.options;
    const session = new ServerSession(
      server,
      this.options.openServerClient(report),
      this.engine,
      {
        maxLeaseMs,
        stopTimeoutMs,
        reports: this.options.reports,
        fencingToken: () => this.fencingToken,
        onRenewalSent: () => {
          this.renewalsSinceReport += 1;
        },
        onChange: () => this.requestSchedulingPass(),
        endDeliveries: this.endDeliveries,
        onConfirmed: () => this.checkWholePool(),
        onUnknownRun: () => this.handleUnknownRun(),
        onFenced: () => this.fences.recordFence(report.domain),
        isFenced: () => this.fences.hasDomain(report.domain),
      },
      clock,
      log,
      metrics,
    );
    this.sessions.set(report.id, session);
    void session.run();
    return session;
  }

  private closeSession(id: ServerId): void {
    this.sessions.get(id)?.close();
    this.sessions.delete(id);
    const server = this.engine.fleet.findServer(id);
    const nowMs = this.options.clock.now();
    [...(server?.runs.values() ?? [])].forEach((run) => {
      this.engine.endRun(id, run.task, run.run, 'unreachable', nowMs);
    });
    this.engine.fleet.dropServer(id);
  }

  private handleUnknownRun(): void {
    if (this.options.domain === undefined) {
      // The entry instance that owns the job may be about to submit it.
      this.unknownRunFoundAtMs = this.options.clock.now();
    } else {
      this.engine.stopUnclaimedRuns();
    }
  }

  private checkWholePool(): void {
    const isWholePoolConfirmed =
      !this.areConfirmationsDue &&
      this.knowledge?.isComplete === true &&
      // An earlier leader may have read the entry before it was overwritten, and have runs on its server.
      !this.options.hasUnreadableEntry() &&
      [...this.engine.fleet.listServers()].every(({ state }) => state === 'usable');
    if (isWholePoolConfirmed) {
      // All servers have listed their runs, including those that an earlier leader started.
      this.engine.releaseBlockedTasks();
      this.reportFirstConfirmation();
    }
    this.requestSchedulingPass();
  }

  private reportFirstConfirmation(): void {
    const { clock, log, part } = this.options;
    if (this.unconfirmedSinceMs !== undefined) {
      const tookMs = Math.round(clock.now() - this.unconfirmedSinceMs);
      this.unconfirmedSinceMs = undefined;
      const { servers } = this.engine.fleet.computeUse();
      log.info({ part: part.id, servers, tookMs }, 'all servers have answered this leader');
    }
  }

  private scheduleTick(): void {
    const intervalMs = this.engine.openJobs > 0 ? TICK_INTERVAL_MS : IDLE_TICK_INTERVAL_MS;
    this.ticker = setTimeout(() => this.runTick(intervalMs), intervalMs);
  }

  private runTick(intervalMs: number): void {
    this.scheduleTick();
    const nowMs = this.options.clock.now();
    this.meter.recordTick(nowMs, intervalMs);
    if (nowMs - this.spareReportedAtMs >= SPARE_REPORT_INTERVAL_MS) {
      this.spareReportedAtMs = nowMs;
      this.reportSpareCapacity();
    }
    if (nowMs - this.loadReportedAtMs >= LOAD_REPORT_INTERVAL_MS) {
      this.loadReportedAtMs = nowMs;
      this.reportLoad(nowMs);
    }
    if (
      this.unknownRunFoundAtMs !== undefined &&
      nowMs - this.unknownRunFoundAtMs >= UNCLAIMED_RUN_GRACE_MS
    ) {
      this.unknownRunFoundAtMs = undefined;
      this.engine.stopUnclaimedRuns();
    }
    this.disconnectedEntries.forEach((sinceMs, name) => {
      if (nowMs - sinceMs >= RECONNECT_GRACE_MS) {
        this.disconnectedEntries.delete(name);
        this.options.log.warn(
          { entry: name },
          'entry instance did not reconnect; dropping its jobs',
        );
        this.engine.dropOwner(name, nowMs);
      }
    });
    this.departed.check();
    this.relocations.forEach((_report, id) => this.checkRelocation(id));
    this.reportCancels(nowMs);
    this.runSchedulingPass();
  }

  /**
   * Asks all entry instances for a proof after a pause of this process, in which they may have given up
   * their links and answered their callers: what they sent before it is read only now. Not again at the
   * next pass: on an overloaded processor each may come that late, and tasks have to start all the same.
   */
  private checkPause(nowMs: number): void {
    const pausedMs = nowMs - this.awakeAtMs;
    this.awakeAtMs = nowMs;
    this.startGate?.recordPause(pausedMs, nowMs);
    const isPaused = pausedMs > linkTiming.startSuspensionMs;
    this.pauseEndedAtMs = isPaused ? nowMs : this.pauseEndedAtMs;
    this.wasPaused = isPaused && !this.wasPaused;
    if (this.wasPaused) {
      this.options.log.warn(
        { part: this.options.part.id, pausedMs: Math.round(pausedMs) },
        'this process was paused; starting nothing for entry instances until they answer',
      );
      this.entries.forEach((port) => port.requestProof());
      if (pausedMs > linkTiming.silenceTimeoutMs) {
        // Another instance may lead by now; its servers say so, but for those that have started again since.
        this.requestAllConfirmations();
      }
    }
  }

  private reportSpareCapacity(): void {
    const load = {
      spareCpuMilli: Math.max(
        0,
        this.engine.fleet.computeUse().freeCpuMilli - this.engine.computeWaitingCpuMilli(),
      ),
      loopLagMs: this.meter.recentLagMs,
    };
    this.entries.forEach((port) => port.reportLoad(load));
  }

  private reportLoad(nowMs: number): void {
    const locality = this.engine.takeLocalityReport();
    if (locality?.lastWait !== undefined) {
      this.options.log.info(
        { part: this.options.part.id, ...locality.lastWait },
        'task waits for a better place',
      );
    }
    const load = {
      ...this.engine.computeLoad(),
      ...locality?.counts,
      ...this.meter.takeLoad(nowMs),
      starts: this.startsSinceReport,
      renewals: this.renewalsSinceReport,
      resumedJobs: this.resumedJobsSinceReport,
    };
    this.startsSinceReport = 0;
    this.renewalsSinceReport = 0;
    this.resumedJobsSinceReport = 0;
    this.options.metrics.recordLoad(load);
    this.options.log.info({ part: this.options.part.id, ...load }, 'pool load');
    const refusals = this.engine.takeRefusals();
    if (refusals.length > 0) {
      refusals.forEach(({ queue, reason, jobs }) =>
        this.options.metrics.recordRefusals(queue, reason, jobs),
      );
      this.options.log.info({ part: this.options.part.id, refusals }, 'jobs refused');
    }
  }

  /** Uses a server at its new address once none of its runs can be in progress at the old one. */
  private checkRelocation(id: ServerId): void {
    const report = this.relocations.get(id);
    if (report === undefined || this.sessions.get(id)?.isIdle() === false) {
      return;
    }
    this.relocations.delete(id);
    this.closeSession(id);
    this.entries.forEach((port) => port.reportSettledServers([id]));
    this.openSession(this.engine.fleet.registerServer(report));
    this.requestSchedulingPass();
  }

  /** Queues one scheduling pass for all events of the current event-loop iteration. */
  private requestSchedulingPass(): void {
    if (!this.isPassQueued) {
      this.isPassQueued = true;
      setImmediate(() => this.runSchedulingPass());
    }
  }

  private runSchedulingPass(): void {
    this.isPassQueued = false;
    if (this.isClosed) {
      return;
    }
    const nowMs = this.options.clock.now();
    if (this.areConfirmationsDue) {
      this.requestAllConfirmations();
    }
    this.checkPause(nowMs);
    this.entries.forEach((port, name) => this.engine.setOwnerSilent(name, port.isSilent()));
    this.checkStartGate(nowMs);
    this.moveStrandedJobs(nowMs);
    if (this.areCancelsRead) {
      this.engine.schedule(nowMs);
    }
    const { onTasksWaiting } = this.options;
    if (this.engine.hasWaitingTasks()) {
      onTasksWaiting();
    }
    this.engine.moveWaitingJobs((cpuMilli) => this.takeOpenCapacity(cpuMilli, nowMs), nowMs);
    this.engine.takeEffects().forEach((effect) => this.applyEffect(effect));
    this.endDeliveries.handlePass();
  }

  /** Starts nothing while it is not known well enough which failure domains are evacuated. */
  private checkStartGate(nowMs: number): void {
    const { evacuations, log, part } = this.options;
    if (this.startGate === undefined || evacuations === undefined) {
      return;
    }
    const knownAsOfMs = evacuations.findKnownAsOfMs();
    this.startGate.recordKnowledge(knownAsOfMs);
    const isSuspended = !this.startGate.canStart(nowMs);
    if (isSuspended !== this.areStartsSuspended) {
      this.areStartsSuspended = isSuspended;
      this.engine.setStartsSuspended(isSuspended);
      const knownAgeMs = knownAsOfMs === -Infinity ? undefined : Math.round(nowMs - knownAsOfMs);
      log.warn(
        { part: part.id, knownAgeMs },
        isSuspended
          ? 'starting nothing until the evacuations have been read'
          : 'evacuations known; starting tasks',
      );
    }
  }

  /** Moves jobs away that only servers in evacuated failure domains could run. */
  private moveStrandedJobs(nowMs: number): void {
    const { evacuations, log, part } = this.options;
    if (evacuations === undefined || this.closedDomains.size === 0) {
      return;
    }
    const jobs = this.engine.moveStrandedJobs(
      (id, cpuMilli) => this.chooseOpenPart(id, cpuMilli, nowMs),
      nowMs,
    );
    if (jobs.moved.length + jobs.refused.length + jobs.abandoned.length > 0) {
      evacuations.recordJobs(jobs);
      log.info(
        { part: part.id, closed: [...this.closedDomains], ...jobs },
        'jobs leave an evacuated failure domain',
      );
    }
  }

  private chooseOpenPart(id: JobId, cpuMilli: number, nowMs: number): PartId | undefined {
    const { evacuations, part, domain } = this.options;
    if (evacuations === undefined || domain !== undefined) {
      // Other parts cannot be reached from a domain that is cut off.
      return undefined;
    }
    return (
      this.takeOpenCapacity(cpuMilli, nowMs) ??
      chooseOpenPart(evacuations.listParts(), this.closedDomains, part.id, id)
    );
  }

  /** Takes capacity that another part has reported, unless its domain has been closed since. */
  private takeOpenCapacity(cpuMilli: number, nowMs: number): PartId | undefined {
    const { evacuations, offers, part } = this.options;
    const target = offers.takeCapacity(part.id, cpuMilli, nowMs);
    const isClosed =
      this.closedDomains.size > 0 &&
      evacuations
        ?.listParts()
        .some(
          ({ id, domain }) =>
            id === target && domain !== undefined && this.closedDomains.has(domain),
        );
    return isClosed === true ? undefined : target;
  }

  private reportCrash(record: CrashRecord, owner: InstanceName | undefined): void {
    if (owner === undefined) {
      this.options.log.warn(record, 'server crashed or fell silent under a task');
      this.entries.forEach((port) => port.reportCrash(record));
    } else {
      this.entries.get(owner)?.reportCrash(record);
    }
  }

  private applyEffect(effect: EngineEffect): void {
    switch (effect.kind) {
      case 'start-run':
        this.startsSinceReport += 1;
        void this.sessions
          .get(effect.serverId)
          ?.startRun(effect.task, effect.run, effect.specification);
        return;
      case 'stop-run':
        this.options.log.debug(effect, 'stopping a run');
        void this.sessions
          .get(effect.serverId)
          ?.stopRun(effect.task, effect.run, effect.reason === 'no-answer');
        return;
      case 'report-done':
        this.entries.get(effect.owner)?.reportDone(effect.jobId, effect.task);
        return;
      case 'move-job':
        this.entries.get(effect.owner)?.moveJob(effect.jobId, effect.part, effect.wasMovedBefore);
        return;
      case 'report-crash':
        this.reportCrash(effect.record, effect.owner);
        return;
      case 'report-life':
        this.entries.forEach((port) =>
          port.reportLife(effect.serverId, effect.startedAtMs, effect.clearedTasks),
        );
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
