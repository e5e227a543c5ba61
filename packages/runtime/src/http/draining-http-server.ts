import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { HttpBindings, getRequestListener } from '@hono/node-server';
import type Logger from 'bunyan';
import { buildClosingRefusal } from './build-closing-refusal';
import { buildProblemDocument } from './build-problem-document';
import { buildProblemResponse } from './build-problem-response';
import { drainBody } from './drain-body';
import { HttpServer } from './http-server';
import { RequestTracker } from './request-tracker';

const POLL_MS = 20;
/** How long callers have to close their side of refused connections, so that no reset overtakes the refusal. */
const CONNECTION_END_MS = 200;
const RETRY_AFTER_MS = 1_000;
const HEADER = 'connection';
const CLOSE = 'close';

interface DrainingHttpServerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** How much of a body is read after its request has been refused, in bytes. */
  readonly maxBodyBytes: number;
}

const closingProblem = buildProblem(
  'draining',
  'not-run',
  'This process is shutting down.',
  RETRY_AFTER_MS,
);

const abandonedProblem = buildProblem(
  'outcome-unknown',
  'unknown',
  'This process shut down before the answer was known.',
);

/**
 * Serves an app over HTTP/1.1 up to a shutdown in which each request is answered or refused. Responses are
 * sent after the body of their request has been read: a caller that still sends may miss an earlier one.
 */
export class DrainingHttpServer {
  private readonly clock: Clock;

  private readonly tracker: RequestTracker;

  private readonly server: HttpServer;

  private isClosing = false;

  /** Answer the requests that the app has not answered. */
  private readonly abandonments = new Set<() => void>();

  /**
   * @param fetch - the app's handler
   * @param options - what the server depends on
   */
  constructor(
    fetch: Parameters<typeof getRequestListener>[0],
    { clock, log, maxBodyBytes }: DrainingHttpServerOptions,
  ) {
    this.clock = clock;
    this.tracker = new RequestTracker(clock, (request) => {
      if (request.closedBy === 'caller') {
        log.debug(request, 'caller left before the response was complete');
      } else {
        log.warn(request, 'connection closed before the response was complete');
      }
    });
    this.server = new HttpServer(
      async (request, bindings) => {
        const { incoming, outgoing } = bindings as HttpBindings;
        const response = this.isClosing
          ? buildProblemResponse(closingProblem)
          : await this.waitForResponse(fetch(request, bindings) as Response | Promise<Response>);
        if (response.headers.get(HEADER) === CLOSE || !(await drainBody(incoming, maxBodyBytes))) {
          outgoing.setHeader(HEADER, CLOSE);
        }
        return response;
      },
      {
        tracker: this.tracker,
        closingRefusal: buildClosingRefusal(
          buildProblemDocument(closingProblem),
          'application/problem+json',
        ),
      },
    );
  }

  /** Opens the port; rejects if the port is in use. */
  async listen(address: string): Promise<void> {
    await this.server.listen(address);
  }

  /** Counts the requests whose response is not complete. */
  countRequests(): number {
    return this.tracker.countRequests();
  }

  /** From now on, closes each connection after its open answers or the next one, so that callers open others. */
  beginClosing(): void {
    this.server.beginClosing();
  }

  /**
   * Refuses new requests, waits until the others have their complete responses, and closes the port. After the
   * given time, requests that have not been read to their end are refused, and all others are answered that
   * their outcome is unknown. Returns how many requests had no answer until then.
   */
  async close(limitMs: number): Promise<number> {
    this.isClosing = true;
    const limitEndMs = this.clock.now() + limitMs;
    this.server.beginClosing();
    do {
      this.server.endIdleConnections();
      // eslint-disable-next-line no-await-in-loop -- polls
      await this.clock.pause(POLL_MS);
    } while (this.tracker.countRequests() > 0 && this.clock.now() < limitEndMs);
    const cut = this.tracker.countRequests();
    this.server.refusePartialRequests();
    this.abandonments.forEach((abandon) => abandon());
    const endMs = this.clock.now() + CONNECTION_END_MS;
    while (this.tracker.countConnections() > 0 && this.clock.now() < endMs) {
      this.server.endIdleConnections();
      // eslint-disable-next-line no-await-in-loop -- polls
      await this.clock.pause(POLL_MS);
    }
    this.server.close();
    return cut;
  }

  /** Waits for the app's response; resolves with a problem if the shutdown no longer waits for it. */
  private async waitForResponse(response: Response | Promise<Response>): Promise<Response> {
    return new Promise((resolve, reject) => {
      const abandon = (): void => resolve(buildProblemResponse(abandonedProblem));
      this.abandonments.add(abandon);
      Promise.resolve(response)
        .then(resolve, reject)
        .finally(() => this.abandonments.delete(abandon));
    });
  }
}
