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

/** Time between heartbeats to the agent. */
const SYNC_INTERVAL_MS = 500;
const SYNC_TIMEOUT_MS = 1_000;

/** What a process tells its agent, and what it does with the replies. */
interface AgentLinkOptions {
  readonly role: Role;
  readonly domain: string;
  /** This process's control address. */
  readonly address: string;
  /** Agents' control addresses, this instance's own first. */
  readonly agents: readonly string[];
  readonly reportLoad: () => MessageInitShape<typeof MemberSchema>;
  readonly adoptTable: (table: OperatorsTable) => void;
  readonly adoptServers: (servers: readonly BackendServer[]) => void;
  readonly adoptMembers: (members: readonly Member[]) => void;
}

/**
 * A process's heartbeat to its agent. Replies bring the table, the instance list and the members.
 * If no agent answers, the process goes on with what it has; if the local one does not, the next
 * in the list is asked.
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

  /** Starts the heartbeats. */
  start(): void {
    const sendHeartbeats = async () => {
      await this.syncNow();
      if (!this.isStopped) {
        this.timer = setTimeout(sendHeartbeats, SYNC_INTERVAL_MS);
      }
    };
    void sendHeartbeats();
  }

  /** Stops the heartbeats. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.clients.close();
  }

  /** Sends one heartbeat now. A failure only changes which agent is asked next. */
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
      this.context.log.debug({ err: error, address }, 'heartbeat to agent failed');
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
        'the agent sent a table that cannot be read',
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
