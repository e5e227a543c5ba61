import { Pool } from 'undici';

/** A backend server takes at most 64 connections; with six dispatchers, nine each fit. */
const CONNECTIONS_PER_SERVER = 8;
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are not reused after this time, since they may have gone silent. */
const KEEP_ALIVE_TIMEOUT_MS = 2_000;
/** A suspect set of connections is replaced at most this often. */
const MIN_REPLACE_INTERVAL_MS = 1_000;

/** The connections to one backend server, replaced as a whole when one seems to be silent. */
export class ServerConnection {
  /** The connection for stops, which must not wait behind the starts that they are about. */
  readonly controlPool: Pool;

  private currentPool: Pool;

  private replacedAtMs = -Infinity;

  private lastOutcomeAtMs = -Infinity;

  constructor(private readonly address: string) {
    this.currentPool = this.createPool(CONNECTIONS_PER_SERVER);
    this.controlPool = this.createPool(1);
  }

  /** The connections to use for the next request. */
  get pool(): Pool {
    return this.currentPool;
  }

  /** Notes that an answer came, so that the way to the server works. */
  recordOutcome(nowMs: number): void {
    this.lastOutcomeAtMs = nowMs;
  }

  /** Tells whether any answer came after the given time. */
  hasOutcomeSince(timeMs: number): boolean {
    return this.lastOutcomeAtMs > timeMs;
  }

  /**
   * Gives later requests fresh connections; requests in progress keep theirs.
   *
   * @returns false if that was done a moment ago
   */
  replacePool(nowMs: number): boolean {
    if (nowMs - this.replacedAtMs < MIN_REPLACE_INTERVAL_MS) {
      return false;
    }
    this.replacedAtMs = nowMs;
    const previousPool = this.currentPool;
    this.currentPool = this.createPool(CONNECTIONS_PER_SERVER);
    // Resolves when the last request on the old connections has ended.
    previousPool.close().catch(() => {});
    return true;
  }

  /** Cuts all connections. */
  destroy(): void {
    this.currentPool.destroy().catch(() => {});
    this.controlPool.destroy().catch(() => {});
  }

  /** Closes all connections once the requests on them have ended. */
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
