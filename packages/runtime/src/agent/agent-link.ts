import type { MessageInitShape } from '@bufbuild/protobuf';
import type { OperatorsTable } from '@guavaspindle/kernel/table/operators-table';
import { parseTable } from '@guavaspindle/kernel/table/parse-table';
import {
  AgentService,
  type BackendServer,
  type Member,
  type MemberSchema,
  type Role,
  type SyncResponse,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '../control/client-pool';
import type { ProcessContext } from '../process/process-context';

/** Interval between heartbeats to the agent. */
const SYNC_INTERVAL_MS = 500;
const SYNC_TIMEOUT_MS = 1_000;

/** What a process reports to its agent, and the callbacks for the agent's responses. */
interface AgentLinkOptions {
  readonly role: Role;
  readonly domain: string;
  /** This process's control address. */
  readonly address: string;
  /** Control addresses (host:port) of the agents, the local agent first. */
  readonly agents: readonly string[];
  readonly reportLoad: () => MessageInitShape<typeof MemberSchema>;
  readonly adoptTable: (table: OperatorsTable) => void;
  readonly adoptServers: (servers: readonly BackendServer[]) => void;
  readonly adoptMembers: (members: readonly Member[]) => void;
}

/**
 * Sends heartbeats from a process to its agent. Responses contain the table, the list of backend
 * servers and the member list when they have changed. After a failed heartbeat the next agent in
 * the list is used. If no agent answers, the process keeps using the data that it last received.
 */
export class AgentLink {
  private readonly clients: ClientPool<typeof AgentService>;

  private timer: NodeJS.Timeout | undefined;

  private revision = 0;

  private serversVersion = 0n;

  private rosterVersion = 0n;

  private rosterAgent = '';

  private agentIndex = 0;

  private isStopped = false;

  constructor(
    private readonly context: ProcessContext,
    private readonly options: AgentLinkOptions,
  ) {
    this.clients = new ClientPool(AgentService, context.clientInterceptors);
  }

  /** Sends a heartbeat now and then one after each interval. */
  start(): void {
    const sendHeartbeats = async () => {
      await this.syncNow();
      if (!this.isStopped) {
        this.timer = setTimeout(sendHeartbeats, SYNC_INTERVAL_MS);
      }
    };
    void sendHeartbeats();
  }

  /** Stops the heartbeats and closes the connections to the agents. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.clients.close();
  }

  /** Sends one heartbeat now. If it fails, the next one goes to the next agent in the list. */
  async syncNow(): Promise<void> {
    const { agents } = this.options;
    const address = agents[this.agentIndex % Math.max(1, agents.length)];
    if (address === undefined) {
      return;
    }
    try {
      const response = await this.clients
        .getClient(address)
        .sync(this.buildRequest(), { timeoutMs: SYNC_TIMEOUT_MS });
      this.applyResponse(response);
    } catch (error) {
      this.agentIndex += 1;
      this.context.log.debug(
        { err: error, address },
        'heartbeat to agent failed; the next one goes to the next agent in the list',
      );
    }
  }

  private buildRequest() {
    const { role, domain, address, reportLoad } = this.options;
    return {
      self: {
        ...reportLoad(),
        incarnation: this.context.incarnation,
        role,
        address,
        domain,
        pid: process.pid,
        tableRevision: BigInt(this.revision),
      },
      haveTableRevision: BigInt(this.revision),
      haveServersVersion: this.serversVersion,
      haveRosterVersion: this.rosterVersion,
      rosterAgent: this.rosterAgent,
    };
  }

  private applyResponse(response: SyncResponse): void {
    if (response.tableJson !== '') {
      this.adoptTable(response.tableJson);
    }
    if (response.servers !== undefined && response.serversVersion > this.serversVersion) {
      this.serversVersion = response.serversVersion;
      this.options.adoptServers(response.servers.servers);
    }
    if (response.roster !== undefined) {
      this.rosterVersion = response.roster.version;
      this.rosterAgent = response.roster.agent;
      this.options.adoptMembers(response.roster.members);
    }
  }

  private adoptTable(tableJson: string): void {
    const parsed = parseTable(tableJson);
    if (parsed.isErr()) {
      this.context.log.error(
        { reason: parsed.error },
        'the table from the agent cannot be parsed; keeping the current one',
      );
      return;
    }
    // A lower revision never replaces a higher one, whichever agent sends it.
    if (parsed.value.revision > this.revision) {
      this.revision = parsed.value.revision;
      this.options.adoptTable(parsed.value);
    }
  }
}
