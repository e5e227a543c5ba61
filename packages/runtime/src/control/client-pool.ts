import type { DescService } from '@bufbuild/protobuf';
import { createClient, type Client, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

/** Interval of the HTTP/2 pings by which an unresponsive connection is detected and replaced. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 30_000;
/** The maximum size of a response, in bytes. */
const MAX_RESPONSE_BYTES = 80 * 1_048_576;

/** The client of one peer and its underlying HTTP/2 connection. */
interface PeerConnection<Service extends DescService> {
  readonly client: Client<Service>;
  readonly session: Http2SessionManager;
}

/** Clients of one service, with one HTTP/2 connection per peer, created on first use. */
export class ClientPool<Service extends DescService> {
  private readonly connections = new Map<string, PeerConnection<Service>>();

  constructor(
    private readonly service: Service,
    private readonly interceptors: Interceptor[],
  ) {}

  /** Returns the client of the peer at the address host:port, creating it if necessary. */
  getClient(address: string): Client<Service> {
    return this.getConnection(address).client;
  }

  /**
   * Opens the connection to a peer without sending a call.
   *
   * @returns false only if the connection could not be established, so that nothing was sent on it
   */
  async openConnection(address: string): Promise<boolean> {
    const state = await this.getConnection(address).session.connect();
    return state !== 'error';
  }

  /** Removes the clients of all other peers; calls in progress to those peers continue. */
  retainPeers(addresses: ReadonlySet<string>): void {
    [...this.connections.keys()]
      .filter((address) => !addresses.has(address))
      // The session manager closes the connection after IDLE_TIMEOUT_MS without calls.
      .forEach((address) => this.connections.delete(address));
  }

  /** Closes all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.session.abort());
    this.connections.clear();
  }

  private getConnection(address: string): PeerConnection<Service> {
    const existing = this.connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const baseUrl = `http://${address}`;
    const session = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      interceptors: this.interceptors,
      useBinaryFormat: true,
      readMaxBytes: MAX_RESPONSE_BYTES,
    });
    const connection = { client: createClient(this.service, transport), session };
    this.connections.set(address, connection);
    return connection;
  }
}
