/* eslint-disable no-await-in-loop -- the shutdown polls until the open jobs are answered */
import { randomBytes } from 'node:crypto';
import type Logger from 'bunyan';
import { Hono } from 'hono';
import type { NetworkAddress } from '@guavaspindle/kernel/address/network-address';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import type { JobLimits } from '@guavaspindle/kernel/engine/job-limits';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { listParts } from '@guavaspindle/kernel/layout/list-parts';
import { PartOffers } from '@guavaspindle/kernel/layout/part-offers';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { buildCallersApp } from '@guavaspindle/platform-adapter/callers/build-callers-app';
import { ServerClient } from '@guavaspindle/platform-adapter/servers/server-client';
import type { InstanceSettings } from '@guavaspindle/platform-adapter/settings/instance-settings';
import { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import { storeKeys } from '@guavaspindle/platform-adapter/store/store-keys';
import { InstanceService } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { ControlServer } from '@guavaspindle/runtime/control/control-server';
import { HttpServer } from '@guavaspindle/runtime/http/http-server';
import { RequestTracker } from '@guavaspindle/runtime/http/request-tracker';
import { CancelLedger } from './cancels/cancel-ledger';
import { EntryJobs } from './entry/entry-jobs';
import { RackMap } from './entry/rack-map';
import { electionTiming } from './lead/election-timing';
import { isLikelyLeader } from './lead/is-likely-leader';
import { LayoutPlanner } from './lead/layout-planner';
import { LeaderElection } from './lead/leader-election';
import { PartElections } from './lead/part-elections';
import { LinkService } from './links/link-service';
import { PoolLeader } from './pool/pool-leader';
import { InstanceMetrics } from './process/instance-metrics';
import { LoopMonitor } from './process/loop-monitor';
import { runWarmUp } from './process/warm-up';
import type { RunningInstance } from './process/running-instance';
import { ShutdownSchedule } from './process/shutdown-schedule';
import type { RegisteredInstance } from './registry/registered-instance';
import { InstanceRegistry } from './registry/instance-registry';
import { ConfigurationHolder } from './store/configuration-holder';
import { EvacuationHolder } from './store/evacuation-holder';
import { FleetMemory } from './store/fleet-memory';
import { FleetMirror } from './store/fleet-mirror';
import type { MirrorListener } from './store/mirror-listener';
import { mirrorTiming } from './store/mirror-timing';
import { OperatorListener } from './store/operator-listener';
import { PrefixMirror } from './store/prefix-mirror';
import type { PrefixMirrorOptions } from './store/prefix-mirror-options';

/** Random bytes of an incarnation id: enough that no two processes get the same one. */
const INCARNATION_BYTES = 8;
/** Timeout of calls to the store: a slow store takes hundreds of milliseconds. */
const STORE_TIMEOUT_MS = 600;
/** Timeout of orders to servers: many round trips between failure domains. */
const ORDER_TIMEOUT_MS = 250;
/**
 * Pause between two watches of the server entries, so that one call reads several changes; well below
 * the time that a draining server allows.
 */
const SERVER_WATCH_PAUSE_MS = 500;
/**
 * An instance whose store calls failed within this time may have been in the same network partition as
 * its leader: entries of servers expire after three heartbeats, and a partition ends shortly before the
 * store answers again.
 */
const RECENT_STORE_FAILURE_MS = 5_000;
/** Delay of the warm-up, after which the other instances have registered. */
const WARM_UP_DELAY_MS = 500;
/** Warm-up of an instance that serves callers, but is unlikely to lead. */
const ENTRY_WARM_UP_ITERATIONS = { jobs: 0, orders: 0, calls: 8 };
/** Port of the metrics endpoint; `metrics` in the deploy file must name the same port. */
const METRICS_PORT = 9_464;
const SHUTDOWN_POLL_MS = 20;
/** Turns of the event loop for which a shutdown waits at least; while the loop is late, its times pass in one. */
const MIN_TURNS = 3;
/** Time in which the last answers leave the process. */
const RESPONSE_FLUSH_MS = 100;
/** Time in which callers close their side of connections that have been ended; covers a round trip. */
const CONNECTION_END_MS = 200;
/** Time in which other instances close their side of links; a frozen one does not. */
const LINK_CLOSE_MS = 100;
/** Requests without a response that the last log line of a shutdown describes. */
const MAX_LOGGED_REQUESTS = 10;
/** Interval of the checks for servers whose entries are missing and for an outgrown layout. */
const FLEET_CHECK_MS = 500;

/** Connects the parts of an instance, opens its ports and starts it; rejects if a port is in use. */
export async function buildInstance(
  settings: InstanceSettings,
  log: Logger,
  jobLimits: JobLimits = defaultJobLimits,
): Promise<RunningInstance> {
  const clock = systemClock;
  const loop = new LoopMonitor(clock);
  const self: RegisteredInstance = {
    name: settings.name,
    domain: settings.domain,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex') as IncarnationId,
    cores: settings.cores,
    address: `${settings.ip}:${settings.peerPort}` as NetworkAddress,
  };
  const metrics = new InstanceMetrics();
  const store = new StoreClient(settings.storeAddress, STORE_TIMEOUT_MS);
  const configuration = new ConfigurationHolder(log);
  const evacuations = new EvacuationHolder(clock, log);
  const fleet = new FleetMirror(clock, log);
  const servers = new FleetMemory(clock);
  fleet.addListener(servers);
  const offers = new PartOffers();
  const racks = new RackMap();
  const { remoteFactor = 1 } = settings;
  if (remoteFactor !== 1) {
    fleet.addListener(racks);
  }
  const entryJobs = new EntryJobs({
    clock,
    log,
    metrics,
    domain: settings.domain,
    ackTimeoutMs: settings.ackTimeoutMs,
    jobLimits,
    findConfiguration: () => configuration.findConfiguration(),
    countRackServers: (part, rack) => racks.countServers(part, rack),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
    hasRecentStoreFailure: () => registryMirror.hasFailedWithin(RECENT_STORE_FAILURE_MS),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
    onLeaderLeaving: (part, successor) => elections.recordLeaderLeaving(part, successor),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
    onPartNeeded: (part) => elections.requestPart(part),
    onServersSettled: (ids) => servers.settleServers(ids),
    onLoad: (part, load) => offers.recordLoad(part, load, clock.now()),
  });
  const registry = new InstanceRegistry(self, store, log, () => {
    /* eslint-disable @typescript-eslint/no-use-before-define -- called after wiring */
    elections.applyLayout(registry.findLayout());
    elections.wakeUp();
    /* eslint-enable @typescript-eslint/no-use-before-define */
  });
  const openPool = (
    part: PoolPart,
    token: number,
    scope: 'all' | 'domain',
    onFenced: () => void,
    confirmClaim: () => Promise<boolean>,
    cancelLedger: CancelLedger | undefined,
  ): PoolLeader => {
    const pool = new PoolLeader({
      clock,
      log,
      metrics,
      part,
      domain: scope === 'domain' ? settings.domain : undefined,
      fencingToken: token,
      maxLeaseMs: settings.maxLeaseMs,
      stopTimeoutMs: settings.stopTimeoutMs,
      remoteFactor: settings.remoteFactor,
      jobLimits,
      openServerClient: ({ id, address }) => new ServerClient(id, address, ORDER_TIMEOUT_MS),
      readServers: async () => {
        const snapshot = await store.readPrefix(storeKeys.serversPrefix);
        if (snapshot.isOk()) {
          fleet.onSnapshot(snapshot.value);
        }
        return snapshot.isOk();
      },
      reports: {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
        findKnownAsOfMs: () => serversMirror.knownAsOfMs,
        heartbeatMs: settings.heartbeatMs,
      },
      hasUnreadableEntry: () => fleet.hasUnreadableEntry(),
      confirmClaim,
      // The leader of a domain that is cut off knows what its entry instances tell.
      readCancels: async () => (cancelLedger === undefined ? [] : cancelLedger.readCancels()),
      offers,
      evacuations:
        settings.evacuationMs === undefined
          ? undefined
          : {
              evacuationMs: settings.evacuationMs,
              // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
              findKnownAsOfMs: () => operatorMirror.knownAsOfMs,
              listParts: () => listParts(registry.findLayout()),
              recordJobs: (jobs) => metrics.recordEvacuatedJobs(jobs),
            },
      coldLimits: settings.coldLimits,
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
      onTasksWaiting: () => elections.requestReports(),
      onFenced,
      onClosed: (closed) => {
        fleet.dropListener(closed);
        evacuations.dropListener(closed);
      },
    });
    // Before the servers, so that none of them is used that is in an evacuated domain.
    evacuations.addListener(pool);
    fleet.addListener(pool);
    // The leader of a part links to the leaders of others.
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after wiring
    elections.wakeUp();
    return pool;
  };
  const elections: PartElections = new PartElections({
    domain: settings.domain,
    clock,
    hasJobsAt: (part) => entryJobs.hasJobsAt(part),
    openElection: (part) =>
      new LeaderElection({
        part,
        self,
        registry,
        entry: entryJobs,
        servers,
        clock,
        log,
        isNeeded: () => elections.isPartNeeded(part.id),
        countLedParts: () => elections.countLedParts(),
        isReportNeeded: () => elections.isReportNeeded(),
        openPool,
        openCancelLedger: (id, token) =>
          new CancelLedger(
            { part: id, claimKey: InstanceRegistry.buildClaimKey(id), store, clock, log },
            token,
          ),
      }),
    onPartsChanged: (parts) => entryJobs.setParts(parts),
  });
  const layoutPlanner = new LayoutPlanner({
    clock,
    log,
    findLayout: () => registry.findLayout(),
    listServers: () => fleet.listServers(),
    listInstances: () => [self, ...registry.listOthers()],
    isWriter: (layout) => elections.isLeadingFirstPart(layout),
    writeLayout: (layout) => registry.writeLayout(layout),
  });
  const { maxRetryDelayMs, maxConfigurationRetryDelayMs } = mirrorTiming;
  const buildMirror = (
    prefix: string,
    listener: MirrorListener,
    changes: Partial<PrefixMirrorOptions> = {},
  ): PrefixMirror =>
    new PrefixMirror(
      { prefix, store, clock, log, watchPauseMs: 0, maxRetryDelayMs, ...changes },
      listener,
    );
  const registryMirror = buildMirror(InstanceRegistry.prefix, registry);
  const followsEvacuations = settings.evacuationMs !== undefined;
  const operatorMirror = buildMirror(
    followsEvacuations ? storeKeys.operatorPrefix : storeKeys.configuration,
    followsEvacuations ? new OperatorListener([evacuations, configuration], log) : configuration,
    { maxRetryDelayMs: maxConfigurationRetryDelayMs },
  );
  const serversMirror = buildMirror(storeKeys.serversPrefix, fleet, {
    watchPauseMs: SERVER_WATCH_PAUSE_MS,
  });
  const mirrors = [operatorMirror, serversMirror, registryMirror];
  if (followsEvacuations) {
    evacuations.addListener(entryJobs);
    metrics.observeEvacuations(() => evacuations.computeAgesS());
  }
  metrics.observeStore(mirrors, () => configuration.findConfiguration()?.version);

  let isDraining = false;
  const peerServer = new ControlServer((router) => {
    router.service(
      InstanceService,
      new LinkService(elections, clock, log, (closed) => {
        if (followsEvacuations) {
          evacuations.mergeClosedDomains(closed);
        }
      }),
    );
  }, []);
  await peerServer.listen(self.address);
  const callers = new RequestTracker(clock, (request) => {
    metrics.recordUnansweredRequest(request.closedBy);
    const fields = { ...request, isDraining };
    if (request.closedBy === 'instance') {
      log.warn(fields, 'connection closed before the response was complete');
    } else {
      log.debug(fields, 'caller left before the response was complete');
    }
  });
  metrics.observeCallers(
    () => callers.countConnections(),
    () => callers.countRequests(),
  );
  const callersServer = new HttpServer(buildCallersApp(entryJobs).fetch, { tracker: callers });
  const readinessServer = new HttpServer(
    new Hono().get('/ready', (context) => {
      const isReady =
        !isDraining && configuration.findConfiguration() !== undefined && elections.isConnected();
      return context.text(isReady ? 'ready' : 'not ready', isReady ? 200 : 503);
    }).fetch,
  );
  const metricsApp = new Hono().get('/metrics', async (context) =>
    context.text(await metrics.formatText()),
  );
  if (followsEvacuations) {
    metricsApp.get('/health', (context) =>
      context.json({
        areEvacuationsRead: evacuations.findClosedDomains() !== undefined,
        evacuations: [...evacuations.computeAgesS()].map(([domain, ageS]) => ({ domain, ageS })),
      }),
    );
  }
  const metricsServer = new HttpServer(metricsApp.fetch);
  if (settings.callersAddress !== undefined) {
    await callersServer.listen(settings.callersAddress);
  }
  if (settings.readinessAddress !== undefined) {
    await readinessServer.listen(settings.readinessAddress);
  }
  await metricsServer.listen(`${settings.ip}:${METRICS_PORT}`);
  mirrors.forEach((mirror) => {
    void mirror.run();
  });
  const fleetTimer = setInterval(() => {
    fleet.dropMissing();
    void layoutPlanner.check();
  }, FLEET_CHECK_MS);
  void registry.writeOwnRecord();
  log.info({ self }, 'instance started');
  if (settings.isFirstStart) {
    void clock.pause(WARM_UP_DELAY_MS).then(() => {
      const iterations = isLikelyLeader(self, registry.listOthers())
        ? undefined
        : ENTRY_WARM_UP_ITERATIONS;
      return runWarmUp({
        clock,
        log,
        ip: settings.ip,
        callersAddress: settings.callersAddress,
        iterations,
        isTrafficHere: () => entryJobs.openJobs > 0,
      });
    });
  }

  /** Waits until a condition holds, for a limited time and some turns of the event loop. */
  const pollUntil = async (isMet: () => boolean, limitMs: number): Promise<void> => {
    const endMs = clock.now() + limitMs;
    for (let turns = 0; !isMet() && (turns < MIN_TURNS || clock.now() < endMs); turns += 1) {
      await clock.pause(SHUTDOWN_POLL_MS);
    }
  };

  return {
    async shutDown(): Promise<void> {
      const schedule = new ShutdownSchedule({
        signalMs: clock.now() - loop.latestLagMs,
        graceMs: settings.shutdownGraceMs,
      });
      isDraining = true;
      callersServer.beginClosing();
      // The record goes while requests are answered: a store that does not answer must not delay their end.
      const handover = elections
        .drain(electionTiming.handoverTimeoutMs)
        .then(async () => registry.dropOwnRecord());
      while (clock.now() < schedule.computeRefuseMs(loop.findMaxLagMs())) {
        await clock.pause(SHUTDOWN_POLL_MS);
      }
      entryJobs.refuseNewJobs();
      do {
        callersServer.endIdleConnections();
        await clock.pause(SHUTDOWN_POLL_MS);
      } while (
        callers.countRequests() > 0 &&
        clock.now() < schedule.computeAnswerMs(loop.findMaxLagMs())
      );
      await elections.drain(electionTiming.lastHandoverTimeoutMs);
      // Before the callers are answered: a leader that stops tells which of its jobs have not started.
      elections.close();
      entryJobs.answerAllCallers('shutdown');
      callersServer.refusePartialRequests();
      await pollUntil(() => callers.countRequests() === 0, RESPONSE_FLUSH_MS);
      log.info(
        {
          openJobs: entryJobs.openJobs,
          openRequests: callers.countRequests(),
          connections: callers.countConnections(),
        },
        'instance stops',
      );
      await callersServer.stopListening(CONNECTION_END_MS);
      await pollUntil(() => {
        callersServer.endIdleConnections();
        return callers.countConnections() === 0;
      }, CONNECTION_END_MS);
      callersServer.close();
      await handover;
      loop.close();
      mirrors.forEach((mirror) => mirror.close());
      clearInterval(fleetTimer);
      readinessServer.close();
      metricsServer.close();
      await Promise.race([peerServer.close(), clock.pause(LINK_CLOSE_MS)]);
      store.close();
      const unanswered = callers.listRequests();
      log.info(
        {
          unanswered: unanswered.slice(0, MAX_LOGGED_REQUESTS),
          openRequests: unanswered.length,
          connections: callers.countConnections(),
        },
        'process ends',
      );
    },

    async abandonCallers(): Promise<void> {
      isDraining = true;
      elections.close();
      callersServer.beginClosing();
      entryJobs.refuseNewJobs();
      entryJobs.answerAllCallers('unexpected error');
      callersServer.refusePartialRequests();
      await pollUntil(() => {
        callersServer.endIdleConnections();
        return callers.countConnections() === 0;
      }, RESPONSE_FLUSH_MS);
    },
  };
}
