import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { UnansweredRequest } from './unanswered-request';

/** What a connection has carried so far. */
interface ConnectionRecord {
  requests: number;
  /** Requests whose response is not complete. */
  openRequests: number;
  /** True once the caller has closed its side, or the connection has failed. */
  hasCallerEnded: boolean;
}

/** A request without a complete response. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly connection: ConnectionRecord;
  readonly beganMs: number;
}

/** Follows the connections of a server and the requests on them until each has its complete response. */
export class RequestTracker {
  private readonly connections = new Map<Socket, ConnectionRecord>();

  private readonly requests = new Map<ServerResponse, OpenRequest>();

  /**
   * @param clock - measures the age of requests
   * @param onUnanswered - called when a connection closes before a response is complete
   */
  constructor(
    private readonly clock: Clock,
    private readonly onUnanswered: (request: UnansweredRequest) => void,
  ) {}

  /** Counts the open connections. */
  countConnections(): number {
    return this.connections.size;
  }

  /** Counts the requests whose response is not complete. */
  countRequests(): number {
    return this.requests.size;
  }

  /** Describes the requests whose response is not complete. */
  listRequests(): readonly UnansweredRequest[] {
    return [...this.requests.values()].map((open) => this.describeRequest(open));
  }

  /** Stops following the requests that have not been read to their end; returns their connections. */
  takePartialRequests(): readonly Socket[] {
    const partial = [...this.requests].filter(
      ([response, { request }]) => !request.complete && !response.headersSent,
    );
    return partial.map(([response, { request, connection }]) => {
      this.requests.delete(response);
      connection.openRequests -= 1;
      return request.socket;
    });
  }

  /** Lists the connections without an open request. */
  listIdleConnections(): readonly Socket[] {
    return [...this.connections.entries()]
      .filter(([, { openRequests }]) => openRequests === 0)
      .map(([socket]) => socket);
  }

  /** Follows a connection until it is closed. */
  addConnection(socket: Socket): void {
    const record: ConnectionRecord = { requests: 0, openRequests: 0, hasCallerEnded: false };
    this.connections.set(socket, record);
    const recordEnd = (): void => {
      record.hasCallerEnded = true;
    };
    socket.once('end', recordEnd);
    socket.once('error', recordEnd);
    socket.once('close', () => {
      this.connections.delete(socket);
      // Node does not close the responses that are queued behind another one.
      if (record.openRequests > 0) {
        [...this.requests]
          .filter(([, { connection }]) => connection === record)
          .forEach(([response]) => this.endRequest(response));
      }
    });
  }

  /** Follows a request until its response is complete or its connection closes. */
  addRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket) ?? {
      requests: 0,
      openRequests: 0,
      hasCallerEnded: false,
    };
    connection.requests += 1;
    connection.openRequests += 1;
    const open = { request, connection, beganMs: this.clock.now() };
    this.requests.set(response, open);
    response.once('close', () => this.endRequest(response));
  }

  private endRequest(response: ServerResponse): void {
    const open = this.requests.get(response);
    if (open === undefined) {
      return;
    }
    this.requests.delete(response);
    open.connection.openRequests -= 1;
    if (!response.writableFinished) {
      this.onUnanswered(this.describeRequest(open));
    }
  }

  private describeRequest({ request, connection, beganMs }: OpenRequest): UnansweredRequest {
    return {
      method: request.method ?? '',
      path: request.url ?? '',
      ageMs: Math.round(this.clock.now() - beganMs),
      isWhole: request.complete,
      requestsOnConnection: connection.requests,
      closedBy: connection.hasCallerEnded ? 'caller' : 'instance',
    };
  }
}
