import { once } from 'node:events';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { ConnectRouter, Interceptor } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { splitAddress } from './split-address';

/** The largest message taken, in bytes: a job with its payloads. */
const MAX_REQUEST_BYTES = 80 * 1_048_576;

/** Serves the system's own protocol over HTTP/2 without TLS. */
export class ControlServer {
  private readonly server: Http2Server;

  private readonly sessions = new Set<ServerHttp2Session>();

  constructor(routes: (router: ConnectRouter) => void, interceptors: Interceptor[]) {
    this.server = createServer(
      connectNodeAdapter({ routes, interceptors, readMaxBytes: MAX_REQUEST_BYTES }),
    );
    this.server.on('session', (session) => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
      // A session's error closes it; the calls on it see that by themselves.
      session.on('error', () => {});
    });
  }

  /** Opens the port; rejects if it is taken. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Stops taking connections, lets calls in progress end, and closes. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.sessions.forEach((session) => session.close());
    await closed;
  }
}
