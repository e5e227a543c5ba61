import { Pool } from 'undici';

/**
 * A backend server accepts at most 64 connections. Each dispatcher opens nine: these eight and one
 * for stop requests. Six dispatchers therefore fit.
 */
const CONNECTIONS_PER_SERVER = 8;
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are not reused after this time, because they may no longer respond. */
const KEEP_ALIVE_TIMEOUT_MS = 2_000;
/** Minimum interval between two replacements of the connections. */
const MIN_REPLACE_INTERVAL_MS = 1_000;

/** The connections to one backend server. Those for starts are replaced if one does not respond. */
export class ServerConnection {
  /** Carries stop requests, which must not queue behind the starts that they are to stop. */
  readonly controlPool: Pool;

  private currentPool: Pool;

  private replacedAtMs = -Infinity;

  private lastOutcomeAtMs = -Infinity;

  constructor(private readonly address: string) {
    this.currentPool = this.createPool(CONNECTIONS_PER_SERVER);
    this.controlPool = this.createPool(1);
  }

  /** The connections to use for the next start. */
  get pool(): Pool {
    return this.currentPool;
  }

  /**
   * Records that a start has ended. Every outcome counts as a sign that the server is reachable,
   * including an error or a timeout.
   */
  recordOutcome(nowMs: number): void {
    this.lastOutcomeAtMs = nowMs;
  }

  /** Tells whether any start has ended after the given time. */
  hasOutcomeSince(timeMs: number): boolean {
    return this.lastOutcomeAtMs > timeMs;
  }

  /**
   * Opens new connections for later starts. Requests in progress keep their connections.
   *
   * @returns false if the connections were replaced less than MIN_REPLACE_INTERVAL_MS ago
   */
  replacePool(nowMs: number): boolean {
    if (nowMs - this.replacedAtMs < MIN_REPLACE_INTERVAL_MS) {
      return false;
    }
    this.replacedAtMs = nowMs;
    const previousPool = this.currentPool;
    this.currentPool = this.createPool(CONNECTIONS_PER_SERVER);
    // Not awaited: resolves only when the last request on the old connections has ended.
    previousPool.close().catch(() => {});
    return true;
  }

  /** Closes all connections immediately and aborts the requests on them. */
  destroy(): void {
    this.currentPool.destroy().catch(() => {});
    this.controlPool.destroy().catch(() => {});
  }

  /** Closes all connections after the requests on them have ended. */
  close(): void {
    this.currentPool.close().catch(() => {});
    this.controlPool.close().catch(() => {});
  }

  private createPool(connections: number): Pool {
    return new Pool(`http://${this.address}`, {
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
