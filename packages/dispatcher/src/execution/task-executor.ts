import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import type { Dispatcher } from 'undici';
import { classifyAnswer } from './classify-answer';
import { classifyException } from './classify-exception';
import { ServerConnection } from './server-connection';

/** A start is given up this long after its lease, which leaves time for the answer to travel. */
const LEASE_GRACE_MS = 250;
/** A connection is suspect when an answer takes this many times the expected run time. */
const SUSPECT_FACTOR = 5;
const MIN_SUSPECT_MS = 1_000;
const STOP_TIMEOUT_MS = 1_000;
/** The longest answer taken from a backend server, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1_048_576;

type StartEffect = Extract<KernelEffect, { type: 'start' }>;
type StopEffect = Extract<KernelEffect, { type: 'stop' }>;

/** What the executor reports besides outcomes. */
interface ExecutorHooks {
  /** A server said in an answer that it is leaving. */
  readonly reportLeaving: (server: ServerInfo) => void;
}

/** Reads a body up to the size limit; rejects beyond it. */
async function readAnswer(body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_ANSWER_BYTES) {
      throw new Error(`the answer is longer than ${MAX_ANSWER_BYTES} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
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

  constructor(
    private readonly clock: Clock,
    private readonly hooks: ExecutorHooks,
  ) {}

  /** Sends one start, once, and returns how it ended. Never rejects. */
  async runAttempt(effect: StartEffect): Promise<AttemptOutcome> {
    const connection = this.getConnection(effect.server.address);
    const abort = new AbortController();
    const limit = setTimeout(() => abort.abort(), effect.leaseMs + LEASE_GRACE_MS);
    const suspectMs = Math.max(MIN_SUSPECT_MS, effect.task.estimateMs * SUSPECT_FACTOR);
    const suspicion = setTimeout(() => connection.replacePool(this.clock.now()), suspectMs);
    try {
      const response = await connection.pool.request({
        method: 'POST',
        path: '/v1/run',
        headers: { 'content-type': 'application/json' },
        body: buildRunBody(effect),
        signal: abort.signal,
      });
      if (response.headers['x-leaving'] === 'true') {
        this.hooks.reportLeaving(effect.server);
      }
      const text = await readAnswer(response.body);
      return classifyAnswer(effect.attempt, response.statusCode, text);
    } catch (error) {
      return abort.signal.aborted
        ? { type: 'unknown', detail: 'no answer within the lease' }
        : classifyException(error);
    } finally {
      clearTimeout(limit);
      clearTimeout(suspicion);
    }
  }

  /** Asks a server to stop an attempt. A lost stop costs only the server's time. */
  async stopAttempt(effect: StopEffect): Promise<void> {
    try {
      const response = await this.getConnection(effect.server.address).pool.request({
        method: 'POST',
        path: `/v1/attempts/${encodeURIComponent(effect.attempt)}/stop`,
        signal: AbortSignal.timeout(STOP_TIMEOUT_MS),
      });
      await response.body.dump();
    } catch {
      // The attempt ends by its lease.
    }
  }

  /** Closes connections to servers that are not listed any more. */
  retainServers(servers: readonly ServerInfo[]): void {
    const addresses = new Set(servers.map((server) => server.address));
    this.connections.forEach((connection, address) => {
      if (!addresses.has(address)) {
        connection.pool.close().catch(() => {});
        this.connections.delete(address);
      }
    });
  }

  /** Cuts all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.destroy());
    this.connections.clear();
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
