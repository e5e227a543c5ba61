import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { ServerConnection } from './server-connection';
import { StartCall } from './start-call';

/** A start is given up this long after its lease, which leaves time for the answer to travel. */
const LEASE_GRACE_MS = 250;
/** A connection is suspect when an answer takes this many times the expected run time. */
const SUSPECT_DELAY_FACTOR = 5;
const MIN_SUSPECT_DELAY_MS = 1_000;
/** How often overdue starts are looked for; one timer for all costs less than one each. */
const SWEEP_INTERVAL_MS = 100;
const STOP_TIMEOUT_MS = 1_000;

type StartEffect = Extract<KernelEffect, { type: 'start' }>;
type StopEffect = Extract<KernelEffect, { type: 'stop' }>;

/** What the executor reports besides outcomes. */
interface ExecutorHooks {
  /** A server said in an answer that it is leaving. */
  readonly reportLeaving: (server: ServerInfo) => void;
}

/** A start that has not ended. */
interface InFlightStart {
  readonly call: StartCall;
  readonly connection: ServerConnection;
  readonly startedAtMs: number;
  readonly timeoutAtMs: number;
  readonly suspectAtMs: number;
  isSuspected: boolean;
}

/** Builds the body of a start; the payload is passed on as the caller sent it. */
function buildRunBody(effect: StartEffect): string {
  const { attempt, task, job, leaseMs } = effect;
  const head = JSON.stringify({ attempt, task: task.id, kind: job.kind, leaseMs });
  return `${head.slice(0, -1)},"payload":${task.input.payloadJson}}`;
}

/** Sends starts to backend servers and turns whatever happens into an outcome. */
export class TaskExecutor {
  private readonly connections = new Map<string, ServerConnection>();

  private readonly inFlightStarts = new Set<InFlightStart>();

  private readonly sweepTimer: NodeJS.Timeout;

  constructor(
    private readonly clock: Clock,
    private readonly hooks: ExecutorHooks,
  ) {
    this.sweepTimer = setInterval(() => this.handleOverdueStarts(), SWEEP_INTERVAL_MS);
  }

  /** Sends one start, once, and returns how it ended. Never rejects. */
  runAttempt(effect: StartEffect): Promise<AttemptOutcome> {
    return new Promise((resolve) => {
      const connection = this.getConnection(effect.server.address);
      const nowMs = this.clock.now();
      const call = new StartCall(effect.attempt, {
        reportLeaving: () => this.hooks.reportLeaving(effect.server),
        reportOutcome: (outcome) => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before any end
          this.inFlightStarts.delete(start);
          connection.recordOutcome(this.clock.now());
          resolve(outcome);
        },
      });
      const start: InFlightStart = {
        call,
        connection,
        startedAtMs: nowMs,
        timeoutAtMs: nowMs + effect.leaseMs + LEASE_GRACE_MS,
        suspectAtMs:
          nowMs + Math.max(MIN_SUSPECT_DELAY_MS, effect.task.estimateMs * SUSPECT_DELAY_FACTOR),
        isSuspected: false,
      };
      this.inFlightStarts.add(start);
      connection.pool.dispatch(
        {
          method: 'POST',
          path: '/v1/run',
          headers: ['content-type', 'application/json'],
          body: buildRunBody(effect),
        },
        call,
      );
    });
  }

  /** Asks a server to stop an attempt. A lost stop costs only the server's time. */
  async stopAttempt(effect: StopEffect): Promise<void> {
    try {
      const { controlPool } = this.getConnection(effect.server.address);
      const response = await controlPool.request({
        method: 'POST',
        path: `/v1/attempts/${encodeURIComponent(effect.attempt)}/stop`,
        signal: AbortSignal.timeout(STOP_TIMEOUT_MS),
      });
      await response.body.dump();
    } catch {
      // The attempt ends by its lease.
    }
  }

  /** Closes connections to servers that are not listed any more; starts in progress go on. */
  retainServers(servers: readonly ServerInfo[]): void {
    const addresses = new Set(servers.map((server) => server.address));
    this.connections.forEach((connection, address) => {
      if (!addresses.has(address)) {
        connection.close();
        this.connections.delete(address);
      }
    });
  }

  /** Cuts all connections. */
  close(): void {
    clearInterval(this.sweepTimer);
    this.connections.forEach((connection) => connection.destroy());
    this.connections.clear();
  }

  private handleOverdueStarts(): void {
    const nowMs = this.clock.now();
    this.inFlightStarts.forEach((start) => {
      const { call, connection } = start;
      const isOverdue = nowMs >= start.suspectAtMs && !start.isSuspected;
      if (isOverdue && !connection.hasOutcomeSince(start.startedAtMs)) {
        start.isSuspected = true;
        connection.replacePool(nowMs);
      }
      if (nowMs >= start.timeoutAtMs) {
        call.cancel('no answer within the lease');
      }
    });
  }

  private getConnection(address: string): ServerConnection {
    let connection = this.connections.get(address);
    if (connection === undefined) {
      connection = new ServerConnection(address);
      this.connections.set(address, connection);
    }
    return connection;
  }
}
