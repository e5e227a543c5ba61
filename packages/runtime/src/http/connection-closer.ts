import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const HEADER = 'connection';
const CLOSE = 'close';

/** Returns whether the header fields of a response have been sent and announce the end of the connection. */
function isSentAsLast(response: ServerResponse): boolean {
  return response.headersSent && response.getHeader(HEADER) === CLOSE;
}

/** Writes the last answer of a connection, to something that is not handed to the app. */
function endConnection(socket: Socket, answer: string): void {
  // A connection that closes after its last response is no longer writable.
  if (socket.writable) {
    socket.write(answer);
    socket.destroySoon();
  }
}

/**
 * Decides after which response a connection is closed: in a shutdown after the last one that is open, so
 * that each request that has been read is answered.
 */
export class ConnectionCloser {
  /** The open responses of each connection, in the order of their requests. */
  private readonly open = new Map<Socket, ServerResponse[]>();

  /** Connections on which nothing more is read as a request. */
  private readonly refused = new WeakSet<Socket>();

  private isClosing = false;

  /** Forgets a connection once it is closed; node does not close the responses that are queued on it. */
  watchConnection(socket: Socket): void {
    socket.once('close', () => this.open.delete(socket));
  }

  /** Returns whether a request is to be handled; not after the response that ends its connection. */
  admitRequest({ socket }: IncomingMessage, response: ServerResponse): boolean {
    const responses = this.open.get(socket) ?? [];
    const earlier = responses.at(-1);
    if (socket.writableEnded || (earlier !== undefined && isSentAsLast(earlier))) {
      return false;
    }
    responses.push(response);
    this.open.set(socket, responses);
    response.once('close', () => this.dropResponse(socket, response));
    if (this.isClosing) {
      if (earlier !== undefined && !earlier.headersSent) {
        earlier.removeHeader(HEADER);
      }
      response.setHeader(HEADER, CLOSE);
    }
    return true;
  }

  /**
   * Answers something that is not handled, after the responses to the requests before it, and closes the
   * connection.
   *
   * @param answer - a whole response, as it is sent
   */
  refuseRest(socket: Socket, answer: string): void {
    if (socket.destroyed || this.refused.has(socket)) {
      return;
    }
    this.refused.add(socket);
    const responses = this.open.get(socket) ?? [];
    // The body of the last request may be what cannot be read.
    const awaited = responses.filter(({ req }) => req.complete).at(-1);
    const latest = responses.at(-1);
    if (awaited !== undefined) {
      awaited.once('close', () => endConnection(socket, answer));
    } else if (latest?.headersSent !== true) {
      endConnection(socket, answer);
    }
  }

  /** From now on, closes each connection after its last open response, or after its next one. */
  beginClosing(): void {
    this.isClosing = true;
    this.open.forEach((responses) => {
      const response = responses.at(-1)!;
      if (!response.headersSent) {
        response.setHeader(HEADER, CLOSE);
      }
    });
  }

  private dropResponse(socket: Socket, response: ServerResponse): void {
    const rest = (this.open.get(socket) ?? []).filter((other) => other !== response);
    if (rest.length === 0) {
      this.open.delete(socket);
    } else {
      this.open.set(socket, rest);
    }
  }
}
