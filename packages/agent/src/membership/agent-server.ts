import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type {
  AgentService,
  ExchangeRequest,
  ExchangeResponseSchema,
  SyncRequest,
  SyncResponseSchema,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { TableHolder } from '../table/table-holder';
import type { Membership } from './membership';
import type { ServerHolder } from './server-holder';

type SyncReply = MessageInitShape<typeof SyncResponseSchema> & object;

/** A young agent does not list members before it can have heard from its peers. */
const WARM_UP_MS = 1_000;

/** What the service works with. */
interface AgentServerParts {
  readonly domain: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly membership: Membership;
  readonly table: TableHolder;
  readonly servers: ServerHolder;
}

/** Answers local processes' heartbeats and other agents' exchanges. */
export class AgentServer implements ServiceImpl<typeof AgentService> {
  private readonly startedAtMs: number;

  constructor(private readonly parts: AgentServerParts) {
    this.startedAtMs = parts.clock.now();
  }

  sync(request: SyncRequest): SyncReply {
    const { membership, table, servers } = this.parts;
    if (request.self !== undefined) {
      membership.recordLocal(request.self);
    }
    const list = servers.buildListAfter(request.haveServersVersion);
    return {
      tableJson: table.readRowsAfter(Number(request.haveTableRevision)),
      serversVersion: servers.readVersion(),
      ...(list === undefined ? {} : { servers: list }),
      ...this.buildRoster(request),
    };
  }

  /** Builds the list of members if the process has another one, and if this agent knows it. */
  private buildRoster(request: SyncRequest): Pick<SyncReply, 'roster'> {
    const { membership, clock, incarnation } = this.parts;
    const version = membership.readRosterVersion();
    const isSame = request.rosterAgent === incarnation && request.haveRosterVersion === version;
    if (isSame || clock.now() - this.startedAtMs < WARM_UP_MS) {
      return {};
    }
    return { roster: { version, agent: incarnation, members: membership.listMembers() } };
  }

  exchange(request: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    const { membership, table, servers, domain } = this.parts;
    const { self } = request;
    if (self !== undefined) {
      membership.recordViews([self]);
    }
    const list =
      self?.domain === domain ? servers.buildListAfter(request.haveServersVersion) : undefined;
    return {
      views: membership.listNewerViews(request.known, self?.agentIncarnation ?? ''),
      tableJson: table.readTextAfter(Number(request.haveTableRevision)),
      serversVersion: servers.readVersion(),
      ...(list === undefined ? {} : { servers: list }),
    };
  }
}
