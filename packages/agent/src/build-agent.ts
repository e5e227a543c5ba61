import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import '@guavaspindle/platform/instances/consul-instance-list';
import { instanceListSources } from '@guavaspindle/platform/instances/instance-list-sources';
import '@guavaspindle/platform/store/consul-store';
import { storeAdapters } from '@guavaspindle/platform/store/store-adapters';
import {
  AgentService,
  ProcessService,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ControlServer } from '@guavaspindle/runtime/control/control-server';
import { buildProcessService } from '@guavaspindle/runtime/events/build-process-service';
import { DrainingHttpServer } from '@guavaspindle/runtime/http/draining-http-server';
import { KeyRing } from '@guavaspindle/runtime/http/key-ring';
import { getPlugin } from '@guavaspindle/runtime/process/get-plugin';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { RunningProcess } from '@guavaspindle/runtime/process/running-process';
import { VError } from 'verror';
import type { z } from 'zod';
import { buildAdminApp } from './admin/build-admin-app';
import { TimelineCollector } from './admin/timeline-collector';
import { AgentServer } from './membership/agent-server';
import { Membership } from './membership/membership';
import { PeerExchange } from './membership/peer-exchange';
import { ServerHolder } from './membership/server-holder';
import type { agentSchema } from './settings';
import { StoreReader } from './store-readers/store-reader';
import { TableEditor } from './table/table-editor';
import { TableHolder } from './table/table-holder';

/** Time before the drain deadline at which open requests are answered that their outcome is unknown. */
const ANSWER_MARGIN_MS = 1_000;

/** How much of the body of a refused request is read, in bytes; edits of the table are smaller. */
const MAX_BODY_BYTES = 1_048_576;

/** Wires an agent's parts and opens its ports. */
export async function buildAgent(
  settings: z.infer<typeof agentSchema>,
  context: ProcessContext,
  beginShutdown: () => void,
): Promise<RunningProcess> {
  const { process: common, agent, platform } = settings;
  const { clock, ring, log, incarnation } = context;
  const { domain } = common;
  const store = getPlugin(storeAdapters, platform.adapter)(platform.store);
  const source = getPlugin(instanceListSources, platform.source);
  const instances = source(platform.instances, domain as DomainName);
  const table = new TableHolder(ring);
  const servers = new ServerHolder();
  const identity = { incarnation, domain, address: common.control };
  const membership = new Membership(identity, clock, ring);
  const timeline = new TimelineCollector(context, membership, ring);
  const control = new ControlServer((router) => {
    router.service(
      AgentService,
      new AgentServer({ domain, incarnation, clock, membership, table, servers }),
    );
    router.service(ProcessService, buildProcessService(ring, beginShutdown));
  }, context.serverInterceptors);
  await control.listen(common.control);
  const app = buildAdminApp({
    keys: new KeyRing(settings.operators),
    editor: new TableEditor(store, clock, () => table.readRevision()),
    table,
    membership,
    servers,
    timeline,
    log,
    domain,
    isReady: () => table.readRevision() > 0,
  });
  const server = new DrainingHttpServer(app.fetch, { clock, log, maxBodyBytes: MAX_BODY_BYTES });
  await server.listen(agent.listen);
  const reader = new StoreReader({ clock, store, instances, membership, table, servers, log });
  const { peers, remotePeers } = agent;
  const exchange = new PeerExchange({
    context,
    domain,
    peers,
    remotePeers,
    membership,
    table,
    servers,
  });
  reader.start();
  exchange.start();
  return {
    countInProgress: () => server.countRequests(),
    async shutDown() {
      const cut = await server.close(common.drainDeadline - ANSWER_MARGIN_MS);
      reader.stop();
      exchange.stop();
      timeline.close();
      await control.close();
      await Promise.all([store.close(), instances.close()]);
      if (cut > 0) {
        throw new VError({ info: { cut } }, 'requests were open at the drain deadline');
      }
    },
  };
}
