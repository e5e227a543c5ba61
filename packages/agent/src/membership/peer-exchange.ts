import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import {
  AgentService,
  type BackendServer,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { TableHolder } from '../table/table-holder';
import type { Membership } from './membership';
import type { ServerHolder } from './server-holder';

/** Time between exchanges with an agent of the same failure domain. */
const EXCHANGE_INTERVAL_MS = 400;
/** One exchange in this many goes to another failure domain as well. */
const REMOTE_EVERY = 3;
const EXCHANGE_TIMEOUT_MS = 1_000;
const NO_CAPACITY = { cores: 0, memoryMb: 0, accelerators: 0 };

/** What the exchange works with. */
interface PeerExchangeParts {
  readonly context: ProcessContext;
  readonly domain: string;
  readonly peers: readonly string[];
  readonly remotePeers: readonly string[];
  readonly membership: Membership;
  readonly table: TableHolder;
  readonly servers: ServerHolder;
}

/** Reads a backend server from an agent's message. */
function readServer(server: BackendServer) {
  return {
    id: server.id as ServerId,
    address: server.address,
    slots: server.slots,
    leaving: server.leaving,
    capacity: server.capacity ?? NO_CAPACITY,
  };
}

/** Pulls what this agent lacks from random peers, at a steady pace whatever the number of agents. */
export class PeerExchange {
  private readonly clients: ClientPool<typeof AgentService>;

  private timer: NodeJS.Timeout | undefined;

  private rounds = 0;

  constructor(private readonly parts: PeerExchangeParts) {
    this.clients = new ClientPool(AgentService, parts.context.clientInterceptors);
  }

  /** Starts the exchanges. */
  start(): void {
    this.timer = setInterval(() => this.runRound(), EXCHANGE_INTERVAL_MS);
    this.runRound();
  }

  /** Stops the exchanges. */
  stop(): void {
    clearInterval(this.timer);
    this.clients.close();
  }

  private runRound(): void {
    const { peers, remotePeers, membership, domain } = this.parts;
    membership.advanceHeartbeat();
    const known = membership.listAgents();
    const listAddresses = (isLocal: boolean) =>
      known.filter((view) => (view.domain === domain) === isLocal).map((view) => view.address);
    this.exchangeWithOne([...peers, ...listAddresses(true)]);
    if (this.rounds % REMOTE_EVERY === 0) {
      this.exchangeWithOne([...remotePeers, ...listAddresses(false)]);
    }
    this.rounds += 1;
  }

  private exchangeWithOne(addresses: readonly string[]): void {
    const distinct = [...new Set(addresses)];
    const address = distinct[Math.floor(Math.random() * distinct.length)];
    if (address !== undefined) {
      void this.exchange(address);
    }
  }

  /** Exchanges with one agent. A failure needs no action: the next round asks another one. */
  private async exchange(address: string): Promise<void> {
    const { membership, table, servers, context } = this.parts;
    try {
      const reply = await this.clients.getClient(address).exchange(
        {
          self: membership.buildOwnView(),
          known: membership.buildDigest(),
          haveTableRevision: BigInt(table.readRevision()),
          haveServersVersion: servers.readVersion(),
        },
        { timeoutMs: EXCHANGE_TIMEOUT_MS },
      );
      membership.recordViews(reply.views);
      if (reply.tableJson !== '') {
        table.adoptText(reply.tableJson);
      }
      if (reply.servers !== undefined) {
        servers.adoptServers(reply.serversVersion, reply.servers.servers.map(readServer));
      }
    } catch (error) {
      context.log.debug({ err: error, address }, 'exchange failed');
    }
  }
}
