import { once } from 'node:events';
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { splitAddress } from '@guavaspindle/runtime/control/split-address';

/** Idle connections are kept longer than callers keep them, so that none is cut under a request. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Connections that wait to be accepted; bursts open many at once. */
const BACKLOG = 1_024;

/** Serves an app over HTTP/1.1. */
export class HttpServer {
  private readonly server: Server;

  private isClosing = false;

  /** @param fetch - the app's handler */
  constructor(fetch: Parameters<typeof createAdaptorServer>[0]['fetch']) {
    this.server = createAdaptorServer({ fetch }) as Server;
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.server.requestTimeout = 0;
    this.server.on('request', (_request, response) => {
      if (this.isClosing) {
        response.setHeader('connection', 'close');
      }
    });
  }

  /** Opens the port; rejects if it is taken. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    this.server.listen({ host, port, backlog: BACKLOG });
    await once(this.server, 'listening');
  }

  /** Asks callers to open other connections: each answer from now on is the last on its own. */
  beginClosing(): void {
    this.isClosing = true;
  }

  /** Closes idle connections and the port. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }
}
