import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { ServerConnection } from './server-connection';
import { StartCall } from './start-call';

/** A start times out this long after its lease, so that a timely response can still arrive. */
const LEASE_GRACE_MS = 250;
/** A connection is suspect when a response takes this many times the estimated run time. */
const SUSPECT_DELAY_FACTOR = 5;
const MIN_SUSPECT_DELAY_MS = 1_000;
/** Interval between checks for overdue starts. One timer for all costs less than one per start. */
const SWEEP_INTERVAL_MS = 100;
const STOP_TIMEOUT_MS = 1_000;

type StartEffect = Extract<KernelEffect, { type: 'start' }>;
type StopEffect = Extract<KernelEffect, { type: 'stop' }>;

/** Callbacks for events other than outcomes. */
interface ExecutorHooks {
  /** Called when a response of a backend server says that the server is leaving. */
  readonly reportLeaving: (server: ServerInfo) => void;
}

/** A start without an outcome so far. */
interface InFlightStart {
  readonly call: StartCall;
  readonly connection: ServerConnection;
  readonly startedAtMs: number;
  readonly timeoutAtMs: number;
  readonly suspectAtMs: number;
  isSuspected: boolean;
}

/** Builds the request body of a start. The payload is inserted as the caller sent it. */
function buildRunBody(effect: StartEffect): string {
  const { attempt, task, job, leaseMs } = effect;
  const head = JSON.stringify({ attempt, task: task.id, kind: job.kind, leaseMs });
  return `${head.slice(0, -1)},"payload":${task.input.payloadJson}}`;
}

/** Sends starts to backend servers and converts each response, error or timeout to an outcome. */
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

  /** Sends a start once, without retries, and resolves with its outcome. Never rejects. */
  runAttempt(effect: StartEffect): Promise<AttemptOutcome> {
    return new Promise((resolve) => {
      const connection = this.getConnection(effect.server.address);
      const nowMs = this.clock.now();
      const call = new StartCall(effect.attempt, {
        reportLeaving: () => this.hooks.reportLeaving(effect.server),
        reportOutcome: (outcome) => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any outcome
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

  /** Requests that a server stop an attempt. A lost request only wastes the server's time. */
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
      // The attempt ends when its lease expires.
    }
  }

  /** Closes the connections to unlisted servers after their requests in progress have ended. */
  retainServers(servers: readonly ServerInfo[]): void {
    const addresses = new Set(servers.map((server) => server.address));
    this.connections.forEach((connection, address) => {
      if (!addresses.has(address)) {
        connection.close();
        this.connections.delete(address);
      }
    });
  }

  /** Stops the timer and closes all connections immediately. */
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
