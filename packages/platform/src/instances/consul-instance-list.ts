import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import { z } from 'zod';
import { ConsulClient } from '../store/consul-client';
import type { StoreError } from '../store/store-error';
import type { InstanceList } from './instance-list';
import { instanceListSources } from './instance-list-sources';
import type { ServerListing } from './server-listing';

const HTTP_OK = 200;
const DEFAULT_SLOTS = 8;

/** The used fields of an entry in Consul's health response. */
const entrySchema = z.object({
  Service: z.object({
    ID: z.string(),
    Address: z.string(),
    Port: z.number(),
    Meta: z.record(z.string(), z.string()).nullish(),
  }),
});

const listSchema = z.array(entrySchema);

/** Builds the description of a backend server from its health entry. */
function buildServer({ Service: service }: z.infer<typeof entrySchema>): ServerInfo {
  const meta = service.Meta ?? {};
  return {
    id: service.ID as ServerId,
    address: `${service.Address}:${service.Port}`,
    slots: Number(meta.slots ?? DEFAULT_SLOTS),
    leaving: meta.leaving === 'true',
    capacity: {
      cores: Number(meta.cores ?? 0),
      memoryMb: Number(meta.memoryMb ?? 0),
      accelerators: Number(meta.accelerators ?? 0),
    },
  };
}

/** Parses the list of backend servers from a response. */
function parseListing(
  status: number,
  index: number,
  body: string,
): Result<ServerListing, StoreError> {
  if (status !== HTTP_OK) {
    return err({ type: 'rejected', detail: `status ${status}` });
  }
  try {
    const entries = listSchema.parse(JSON.parse(body));
    return ok({ index, servers: entries.map(buildServer) });
  } catch {
    return err({ type: 'unanswered', detail: 'the answer is not a list of instances' });
  }
}

/** The platform's instance list, read through Consul's HTTP API for health. */
class ConsulInstanceList implements InstanceList {
  private readonly client: ConsulClient;

  constructor(
    address: string,
    private readonly domain: DomainName,
  ) {
    this.client = new ConsulClient(address);
  }

  watchServers(index: number, waitMs: number): ResultAsync<ServerListing, StoreError> {
    const filter = encodeURIComponent(`Service.Meta.domain == "${this.domain}"`);
    const query = `index=${index}&wait=${waitMs}ms&filter=${filter}`;
    return this.client
      .sendRequest({ method: 'GET', path: `/v1/health/service/backend-server?${query}`, waitMs })
      .andThen((response) => parseListing(response.status, response.index, response.body));
  }

  async close(): Promise<void> {
    await this.client.close();
  }
}

instanceListSources.registerPlugin(
  'consul',
  (address, domain) => new ConsulInstanceList(address, domain),
);
