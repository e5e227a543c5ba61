/* eslint-disable no-await-in-loop -- each group of calls starts after the one before */
import type Logger from 'bunyan';
import { Hono } from 'hono';
import type { NetworkAddress } from '@guavaspindle/kernel/address/network-address';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { QueueName } from '@guavaspindle/kernel/ids/queue-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { ServiceName } from '@guavaspindle/kernel/ids/service-name';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import { PartOffers } from '@guavaspindle/kernel/layout/part-offers';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { QueueSettings } from '@guavaspindle/kernel/engine/queue-settings';
import { parseJob } from '@guavaspindle/platform-adapter/callers/parse-job';
import { JsonClient } from '@guavaspindle/platform-adapter/http/json-client';
import { idleServerReply } from '@guavaspindle/platform-adapter/servers/idle-server-reply';
import { ServerClient } from '@guavaspindle/platform-adapter/servers/server-client';
import { HttpServer } from '@guavaspindle/runtime/http/http-server';
import { decodeJob } from '../links/decode-job';
import { encodeJob } from '../links/encode-job';
import type { EntryPort } from '../links/entry-port';
import { PoolLeader } from '../pool/pool-leader';
import type { PoolMetrics } from '../pool/pool-metrics';
import { InMemoryServer } from './in-memory-server';

/** How often the warm-up runs each code path. */
interface WarmUpIterations {
  /** Jobs on in-memory servers. */
  readonly jobs: number;
  /** Orders over HTTP to a temporary server. */
  readonly orders: number;
  /** Calls over HTTP to the instance itself. */
  readonly calls: number;
}

/**
 * Enough to load each code path once. Running them until they are optimized took 0.6 s of processor time on
 * each instance and 4 s on each leader, and callers were not served better in the seconds after it.
 */
const FULL_ITERATIONS: WarmUpIterations = { jobs: 8, orders: 8, calls: 8 };
/** The warm-up ends after this time: on a weak machine it would last until traffic comes. */
const MAX_DURATION_MS = 6_000;
/** Port of the temporary server that receives the orders; it is closed before traffic starts. */
const WARM_UP_PORT = 9_465;
/** Jobs and calls in progress at the same time. */
const CONCURRENCY = 8;
const SERVER_COUNT = 8;
const CALL_TIMEOUT_MS = 1_000;
/** Pause between two groups, in which the event loop handles other events. */
const GROUP_PAUSE_MS = 1;
const OWNER = 'warm-up' as InstanceName;
const SERVICE = 'warm-up' as ServiceName;

const WARM_UP_PART: PoolPart = {
  id: 'warm-up' as PartId,
  domain: undefined,
  index: 0,
  fromPosition: 0,
  toPosition: Infinity,
};

const QUEUE: QueueSettings = {
  name: 'warm-up' as QueueName,
  service: SERVICE,
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetMs: 1_000,
};

const JOB_TEXT = JSON.stringify({
  specification: 'warm-up',
  bestEffort: true,
  steps: [{ count: 4, cpu: 1_000, memMb: 64, estimatedMs: 50 }],
});

const NO_METRICS: PoolMetrics = {
  recordStart() {},
  recordLeaseRenewal() {},
  recordLoad() {},
  recordRefusals() {},
  recordJob() {},
  recordCancel() {},
};

interface WarmUpOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly ip: string;
  readonly callersAddress?: string;
  readonly iterations?: WarmUpIterations;
  /** Returns whether callers wait for jobs; the warm-up would delay them. */
  isTrafficHere(): boolean;
}

/** Runs jobs on in-memory servers; each job is encoded and decoded as on a link. */
async function runJobs(
  { clock, log }: WarmUpOptions,
  jobs: number,
  isOver: () => boolean,
): Promise<void> {
  const resolveByJob = new Map<JobId, () => void>();
  const pool = new PoolLeader({
    clock,
    log,
    metrics: NO_METRICS,
    part: WARM_UP_PART,
    domain: undefined,
    fencingToken: 1,
    maxLeaseMs: 1_000,
    stopTimeoutMs: 50,
    openServerClient: () => new InMemoryServer(),
    readServers: async () => true,
    hasUnreadableEntry: () => false,
    confirmClaim: async () => true,
    readCancels: async () => [],
    offers: new PartOffers(),
    onTasksWaiting() {},
    onFenced() {},
    onClosed() {},
  });
  const entry: EntryPort = {
    keepsDoneTasks: false,
    endJob: (id) => resolveByJob.get(id)?.(),
    moveJob() {},
    reportDone() {},
    waitForReceipt: async () => true,
    reportLoad() {},
    reportCrash() {},
    reportLife() {},
    reportHiddenRun() {},
    reportSettledServers() {},
    answerCancel() {},
    reportCancels() {},
    reportPending() {},
    reportLeaving() {},
    reportUnstarted() {},
    endLink() {},
    isSilent: () => false,
    requestProof() {},
  };
  pool.addEntry(OWNER, entry);
  for (let index = 0; index < SERVER_COUNT; index += 1) {
    pool.adoptServer(
      {
        id: `warm-up-${index}` as ServerId,
        service: SERVICE,
        domain: 'warm-up' as DomainName,
        address: 'in-memory:1' as NetworkAddress,
        bornMs: 1,
        capacity: { cpuMilli: 4_000, memoryMb: 4_096, gpus: 0 },
        labels: [],
        isDraining: false,
      },
      1,
    );
  }
  for (let submitted = 0; submitted < jobs && !isOver(); submitted += CONCURRENCY) {
    const group = Array.from({ length: CONCURRENCY }, async (_unused, index) => {
      const id = (submitted + index).toString(16).padStart(16, '0') as JobId;
      const spec = parseJob(JOB_TEXT, id, QUEUE, defaultJobLimits.maxJobItems);
      if (spec.isErr()) {
        return;
      }
      const submission = {
        spec: spec.value,
        ageMs: 0,
        doneTasks: new Set<never>(),
        isResumed: false,
        priorRunsExpireInMs: 0,
        mayRunOnUnknownServers: false,
        isMoved: false,
        crashes: [],
      };
      await new Promise<void>((resolve) => {
        resolveByJob.set(id, resolve);
        pool.submitJob(decodeJob(encodeJob(submission), OWNER));
      });
      resolveByJob.delete(id);
    });
    await Promise.race([Promise.all(group), clock.pause(CALL_TIMEOUT_MS)]);
    await clock.pause(GROUP_PAUSE_MS);
  }
  pool.close();
}

/** Sends orders over HTTP to a temporary server in this process that runs no tasks. */
async function sendOrders(
  { clock, ip }: WarmUpOptions,
  orders: number,
  isOver: () => boolean,
): Promise<void> {
  const address = `${ip}:${WARM_UP_PORT}` as NetworkAddress;
  const server = new HttpServer(
    new Hono().all('*', (context) => context.json(idleServerReply)).fetch,
  );
  await server.listen(address);
  const client = new ServerClient('warm-up' as ServerId, address, CALL_TIMEOUT_MS);
  for (let sent = 0; sent < orders && !isOver(); sent += CONCURRENCY) {
    const group = Array.from({ length: CONCURRENCY }, (_unused, index) =>
      index % 2 === 0
        ? client.startRun({
            task: `${sent}.0.0.${index}` as TaskId,
            run: 1,
            specification: 'warm-up',
            leaseEndMs: 0,
            fencingToken: 1,
          })
        : client.renewLeases({
            fencingToken: 1,
            terms: { serverStartedAtMs: 0, acknowledgedSequence: 0, leaseEndMs: 0 },
            waitMs: 0,
          }),
    );
    await Promise.all<unknown>(group);
    await clock.pause(GROUP_PAUSE_MS);
  }
  client.close();
  server.close();
}

/** Calls the instance's own HTTP interface for callers with a route that does not exist. */
async function sendCalls(
  clock: Clock,
  callersAddress: string,
  calls: number,
  isOver: () => boolean,
): Promise<void> {
  const client = new JsonClient(callersAddress, CONCURRENCY);
  for (let sent = 0; sent < calls && !isOver(); sent += CONCURRENCY) {
    const group = Array.from({ length: CONCURRENCY }, () =>
      client.sendJson({
        method: 'POST',
        path: '/warm-up/0000000000000000',
        body: JOB_TEXT,
        timeoutMs: CALL_TIMEOUT_MS,
      }),
    );
    await Promise.all(group);
    await clock.pause(GROUP_PAUSE_MS);
  }
  client.close();
}

/**
 * Runs the code paths of a request before the first request arrives, so that the first callers do not
 * wait for the compiler. Runs only at the first start of the whole system, when no traffic competes
 * for the processor, and ends when the first request arrives or after a limited time.
 */
export async function runWarmUp(options: WarmUpOptions): Promise<void> {
  const { clock, log, callersAddress, iterations = FULL_ITERATIONS, isTrafficHere } = options;
  const startedMs = clock.now();
  const isOver = (): boolean => isTrafficHere() || clock.now() - startedMs >= MAX_DURATION_MS;
  if (callersAddress !== undefined) {
    // Every instance serves callers; few of them lead.
    await sendCalls(clock, callersAddress, iterations.calls, isOver);
  }
  await runJobs(options, iterations.jobs, isOver);
  await sendOrders(options, iterations.orders, isOver);
  log.info({ durationMs: Math.round(clock.now() - startedMs) }, 'warm-up finished');
}
