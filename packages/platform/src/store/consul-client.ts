import { ResultAsync } from 'neverthrow';
import { Pool } from 'undici';
import type { StoreError } from './store-error';

/** A call other than a watch is given up after this time. */
const CALL_TIMEOUT_MS = 1_500;
const CONNECT_TIMEOUT_MS = 500;
/** Calls at once to the platform from one process, watches included. */
const MAX_CONNECTIONS = 16;
/** Idle connections are not reused after this time, since they may have gone silent. */
const KEEP_ALIVE_MS = 2_000;

/** One HTTP exchange with the platform. */
interface ConsulResponse {
  readonly status: number;
  readonly index: number;
  readonly body: string;
}

/** What to send. */
interface ConsulRequest {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly body?: string;
  /** Extra time for a blocking query, in milliseconds. */
  readonly waitMs?: number;
}

/** Classifies an exception: only a failed connect proves that nothing was sent. */
function classifyError(error: unknown): StoreError {
  const { code, syscall, message } = error as NodeJS.ErrnoException;
  const isNotSent = syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return { type: isNotSent ? 'not-sent' : 'unanswered', detail: code ?? message };
}

/** Speaks the HTTP protocol that the platform's store and instance list share. */
export class ConsulClient {
  private readonly pool: Pool;

  constructor(address: string) {
    this.pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /** Sends one request; the result holds any response below status 500. */
  sendRequest(request: ConsulRequest): ResultAsync<ConsulResponse, StoreError> {
    return ResultAsync.fromPromise(this.exchange(request), classifyError).andThen((response) =>
      response.status < 500
        ? ResultAsync.fromSafePromise(Promise.resolve(response))
        : ResultAsync.fromPromise<ConsulResponse, StoreError>(Promise.reject(), () => ({
            // A server error may come after the write took effect.
            type: 'unanswered',
            detail: `status ${response.status}`,
          })),
    );
  }

  /** Closes idle connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async exchange(request: ConsulRequest): Promise<ConsulResponse> {
    const timeoutMs = CALL_TIMEOUT_MS + (request.waitMs ?? 0);
    const response = await this.pool.request({
      method: request.method,
      path: request.path,
      body: request.body ?? null,
      headersTimeout: timeoutMs,
      bodyTimeout: CALL_TIMEOUT_MS,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const index = Number(response.headers['x-consul-index'] ?? 0);
    return { status: response.statusCode, index, body: await response.body.text() };
  }
}
