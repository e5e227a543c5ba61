import { once } from 'node:events';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import { createContextValues, type ConnectRouter, type Interceptor } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { sessionKey } from './session-key';
import { splitAddress } from './split-address';

/** The maximum size of a request, in bytes; the largest requests are jobs with their payloads. */
const MAX_REQUEST_BYTES = 80 * 1_048_576;

/** Serves the internal protocol between processes over HTTP/2 without TLS. */
export class ControlServer {
  private readonly server: Http2Server;

  private readonly sessions = new Set<ServerHttp2Session>();

  constructor(routes: (router: ConnectRouter) => void, interceptors: Interceptor[]) {
    this.server = createServer(
      connectNodeAdapter({
        routes,
        interceptors,
        readMaxBytes: MAX_REQUEST_BYTES,
        contextValues: (request) =>
          createContextValues().set(
            sessionKey,
            'stream' in request ? request.stream.session : undefined,
          ),
      }),
    );
    this.server.on('session', (session) => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
      // An error closes the session, and its calls fail on their own. Without a listener the error
      // would be thrown.
      session.on('error', () => {});
    });
  }

  /** Listens on an address of the form host:port; rejects if the port is in use. */
  async listen(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Stops accepting connections, waits for calls in progress and closes the server. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.sessions.forEach((session) => session.close());
    await closed;
  }
}
