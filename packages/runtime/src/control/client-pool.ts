import type { DescService } from '@bufbuild/protobuf';
import { createClient, type Client, type Interceptor } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

/** An idle connection is checked this often, so that one gone silent is noticed and replaced. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 30_000;
/** The largest reply taken, in bytes. */
const MAX_RESPONSE_BYTES = 80 * 1_048_576;

/** A client of one peer and the connection beneath it. */
interface PeerConnection<Service extends DescService> {
  readonly client: Client<Service>;
  readonly session: Http2SessionManager;
}

/** Clients of one service, one HTTP/2 connection a peer, made when first needed. */
export class ClientPool<Service extends DescService> {
  private readonly connections = new Map<string, PeerConnection<Service>>();

  constructor(
    private readonly service: Service,
    private readonly interceptors: Interceptor[],
  ) {}

  /** Returns the client of the peer at host:port. */
  getClient(address: string): Client<Service> {
    return this.getConnection(address).client;
  }

  /**
   * Connects to a peer without sending a call.
   *
   * @returns false only if no connection could be made, so that nothing can have been sent on it
   */
  async openConnection(address: string): Promise<boolean> {
    const state = await this.getConnection(address).session.connect();
    return state !== 'error';
  }

  /** Forgets peers that are not in the list; calls in progress to them go on. */
  retainPeers(addresses: ReadonlySet<string>): void {
    [...this.connections.keys()]
      .filter((address) => !addresses.has(address))
      // The connection closes by itself once it has been idle.
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
