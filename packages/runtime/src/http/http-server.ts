import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import { splitAddress } from '../control/split-address';
import { attachLingeringClose } from './attach-lingering-close';
import { buildClosingRefusal } from './build-closing-refusal';
import { buildErrorResponse } from './build-error-response';
import { closeIdleConnection } from './close-idle-connection';
import { ConnectionCloser } from './connection-closer';
import { getErrorStatus } from './get-error-status';
import type { RequestTracker } from './request-tracker';
import { waitForNextRead } from './wait-for-next-read';

/** Longer than callers keep idle connections, so that none closes while a request is on its way. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Connections that may wait to be accepted; bursts of requests open many at once. */
const BACKLOG = 1_024;
const CONNECT_STATUS = '405 Method Not Allowed';

interface HttpServerOptions {
  /** Follows the connections, and the requests that are handed to the app. */
  readonly tracker?: RequestTracker;
  /** How long idle connections stay open, in milliseconds. */
  readonly keepAliveTimeoutMs?: number;
  /** The response, as it is sent over a connection, to requests that are refused in a shutdown. */
  readonly closingRefusal?: string;
}

/** Serves an app over HTTP/1.1. */
export class HttpServer {
  private readonly server: Server;

  private readonly closer = new ConnectionCloser();

  private readonly tracker: RequestTracker | undefined;

  private acceptedConnections = 0;

  private readonly closingRefusal: string;

  /**
   * @param fetch - the app's handler
   * @param options - what differs from the defaults
   */
  constructor(fetch: Parameters<typeof getRequestListener>[0], options: HttpServerOptions = {}) {
    const { tracker, keepAliveTimeoutMs = KEEP_ALIVE_TIMEOUT_MS } = options;
    this.tracker = tracker;
    this.closingRefusal = options.closingRefusal ?? buildClosingRefusal();
    const handleRequest = getRequestListener(fetch);
    this.server = createServer((request, response) => {
      if (this.closer.admitRequest(request, response)) {
        tracker?.addRequest(request, response);
        void handleRequest(request, response);
      } else {
        request.resume();
      }
    });
    this.server.keepAliveTimeout = keepAliveTimeoutMs;
    this.server.requestTimeout = 0;
    // A caller may shut down its sending side after its request and wait for the answer.
    Object.assign(this.server, { httpAllowHalfOpen: true });
    this.server.on('connection', (socket) => {
      this.acceptedConnections += 1;
      tracker?.addConnection(socket);
      attachLingeringClose(socket);
      this.closer.watchConnection(socket);
    });
    this.server.on('timeout', (socket) => {
      void closeIdleConnection(socket);
    });
    this.server.on('clientError', (error, socket) => {
      this.closer.refuseRest(socket as Socket, buildErrorResponse(getErrorStatus(error)));
    });
    this.server.on('connect', (_request, socket) => {
      // The connection is no longer handled by node's HTTP server.
      socket.on('error', () => socket.destroy());
      socket.resume();
      this.closer.refuseRest(socket as Socket, buildErrorResponse(CONNECT_STATUS));
    });
  }

  /** Opens the port; rejects if the port is in use. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    this.server.listen({ host, port, backlog: BACKLOG });
    await once(this.server, 'listening');
  }

  /** From now on, closes each connection after its open answers or the next one, so that callers open others. */
  beginClosing(): void {
    this.closer.beginClosing();
  }

  /**
   * Ends the connections without an open request. A refusal precedes the end: a request that is on its way
   * meanwhile has it as its answer and is not handled.
   */
  endIdleConnections(): void {
    this.tracker?.listIdleConnections().forEach((socket) => this.refuseRest(socket));
  }

  /**
   * Closes the port, after the connections that wait for it have been accepted. Open connections stay open.
   *
   * @param limitMs - the port is closed after this time although connections still come
   */
  async stopListening(limitMs: number): Promise<void> {
    const endMs = performance.now() + limitMs;
    let accepted: number;
    do {
      accepted = this.acceptedConnections;
      // A turn of the event loop accepts one connection, right before this goes on.
      // eslint-disable-next-line no-await-in-loop -- one turn after the other
      await waitForNextRead();
    } while (this.acceptedConnections > accepted && performance.now() < endMs);
    // The method of the HTTP server would also destroy idle connections, and requests on their way with them.
    NetServer.prototype.close.call(this.server);
  }

  /** Refuses the requests that have not been read to their end. */
  refusePartialRequests(): void {
    this.tracker?.takePartialRequests().forEach((socket) => this.refuseRest(socket));
  }

  /** Closes idle connections and the port. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Refuses what still comes on a connection and ends it; a request that is read later is not handled. */
  private refuseRest(socket: Socket): void {
    this.closer.refuseRest(socket, this.closingRefusal);
  }
}
