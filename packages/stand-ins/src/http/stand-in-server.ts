import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Answers one request of a stand-in. */
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** A plain HTTP server on loopback whose connections a fault can cut. */
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

  /** Opens the port and returns host:port; port 0 takes a free one. */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Cuts all connections and closes the port. */
  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }
}
