import { ResultAsync } from 'neverthrow';
import { Pool } from 'undici';
import type { StoreError } from './store-error';

/** Timeout of calls; watches add their wait. */
const CALL_TIMEOUT_MS = 1_500;
const CONNECT_TIMEOUT_MS = 500;
/** Maximum number of concurrent calls per client, including watches. */
const MAX_CONNECTIONS = 16;
/** Idle connections are not reused after this time, since they may be broken without notice. */
const KEEP_ALIVE_MS = 2_000;

/** The response to a call. */
interface ConsulResponse {
  readonly status: number;
  /** Index of the response (`x-consul-index`); 0 if there is none. */
  readonly index: number;
  readonly body: string;
}

/** A call to Consul's HTTP API. */
interface ConsulRequest {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly body?: string;
  /** Wait of a blocking query, in milliseconds; added to the timeout. */
  readonly waitMs?: number;
}

/** Classifies an exception; only a failed connection attempt proves that nothing was sent. */
function classifyError(error: unknown): StoreError {
  const { code, syscall, message } = error as NodeJS.ErrnoException;
  const isNotSent = syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return { type: isNotSent ? 'not-sent' : 'unanswered', detail: code ?? message };
}

/** HTTP client for Consul's API, used for the platform's store and its instance list. */
export class ConsulClient {
  private readonly pool: Pool;

  constructor(address: string) {
    this.pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /** Sends a request; resolves with any response whose status is below 500. */
  sendRequest(request: ConsulRequest): ResultAsync<ConsulResponse, StoreError> {
    return ResultAsync.fromPromise(this.exchange(request), classifyError).andThen((response) =>
      response.status < 500
        ? ResultAsync.fromSafePromise(Promise.resolve(response))
        : ResultAsync.fromPromise<ConsulResponse, StoreError>(Promise.reject(), () => ({
            // A write may have taken effect before the server error.
            type: 'unanswered',
            detail: `status ${response.status}`,
          })),
    );
  }

  /** Closes all connections. */
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
