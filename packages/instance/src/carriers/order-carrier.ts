import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { ServerPort } from '@guavaspindle/platform-adapter/servers/server-port';
import type {
  ServerAnswer,
  ServerOrder,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { sendCarriedOrder } from './send-carried-order';

/** Connections to a server that no order has used for so long are closed. */
const KEEP_IDLE_MS = 60_000;

interface OpenServer {
  readonly port: ServerPort;
  usedAtMs: number;
}

/** Carries the leader's orders to backend servers; the connections outlast the leader. */
export class OrderCarrier {
  private readonly servers = new Map<string, OpenServer>();

  constructor(
    private readonly clock: Clock,
    private readonly openServer: (id: ServerId, address: string) => ServerPort,
  ) {}

  /** Sends an order and resolves with the answer; never rejects. */
  async sendOrder(order: ServerOrder): Promise<ServerAnswer> {
    return sendCarriedOrder(this.findServer(order.serverId as ServerId, order.address), order);
  }

  /** Closes all connections. */
  close(): void {
    this.servers.forEach(({ port }) => port.close());
    this.servers.clear();
  }

  private findServer(id: ServerId, address: string): ServerPort {
    const key = `${id} ${address}`;
    const nowMs = this.clock.now();
    let server = this.servers.get(key);
    if (server === undefined) {
      this.closeIdle(nowMs);
      server = { port: this.openServer(id, address), usedAtMs: nowMs };
      this.servers.set(key, server);
    }
    server.usedAtMs = nowMs;
    return server.port;
  }

  private closeIdle(nowMs: number): void {
    this.servers.forEach(({ port, usedAtMs }, key) => {
      if (nowMs - usedAtMs >= KEEP_IDLE_MS) {
        port.close();
        this.servers.delete(key);
      }
    });
  }
}
