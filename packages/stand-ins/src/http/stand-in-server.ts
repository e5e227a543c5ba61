import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Handles one request to a stand-in; if it rejects, the connection is closed. */
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** An HTTP server that tracks its open connections, so that a stand-in can close or mute them. */
export class StandInServer {
  readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor(handle: RequestHandler) {
    this.server = createServer((request, response) => {
      handle(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Opens the port and returns its address as host:port; port 0 selects a free port. */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Closes all connections and the port. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }
}
