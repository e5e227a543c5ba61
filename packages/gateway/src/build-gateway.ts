import { once } from 'node:events';
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import {
  DispatcherService,
  ProcessService,
  Role,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { AgentLink } from '@guavaspindle/runtime/agent/agent-link';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import { ControlServer } from '@guavaspindle/runtime/control/control-server';
import { splitAddress } from '@guavaspindle/runtime/control/split-address';
import { buildProcessService } from '@guavaspindle/runtime/events/build-process-service';
import { KeyRing } from '@guavaspindle/runtime/http/key-ring';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { RunningProcess } from '@guavaspindle/runtime/process/running-process';
import type { z } from 'zod';
import { buildApp } from './http/build-app';
import { DispatcherDirectory } from './routing/dispatcher-directory';
import { SubmissionRouter } from './routing/submission-router';
import { TicketStock } from './routing/ticket-stock';
import type { gatewaySchema } from './settings';

/** Wires a gateway's parts and opens its ports. */
export async function buildGateway(
  settings: z.infer<typeof gatewaySchema>,
  context: ProcessContext,
  beginShutdown: () => void,
): Promise<RunningProcess> {
  const { process: common, gateway } = settings;
  const directory = new DispatcherDirectory();
  const stock = new TicketStock();
  const clients = new ClientPool(DispatcherService, context.clientInterceptors);
  let isDraining = false;
  let hasTable = false;
  const router = new SubmissionRouter({
    domain: common.domain,
    directory,
    clients,
    stock,
    clock: context.clock,
  });
  const app = buildApp({
    router,
    keys: new KeyRing(settings.callers),
    ring: context.ring,
    log: context.log,
    maxBodyBytes: gateway.maxBody,
    isReady: () => hasTable && !isDraining && directory.countOpen(common.domain) > 0,
    countDispatchers: () => directory.countOpen(common.domain),
  });
  let inProgress = 0;
  const server = createAdaptorServer({ fetch: app.fetch }) as Server;
  server.on('request', (_request, response) => {
    inProgress += 1;
    response.on('close', () => {
      inProgress -= 1;
    });
    if (isDraining) {
      response.setHeader('connection', 'close');
    }
  });
  const control = new ControlServer((router_) => {
    router_.service(ProcessService, buildProcessService(context.ring, beginShutdown));
  }, context.serverInterceptors);
  await control.listen(common.control);
  const { host, port } = splitAddress(gateway.listen);
  server.listen(port, host);
  await once(server, 'listening');
  const link = new AgentLink(context, {
    role: Role.GATEWAY,
    domain: common.domain,
    address: common.control,
    agents: common.agents,
    reportLoad: () => ({ draining: isDraining }),
    adoptTable: (table) => {
      hasTable = true;
      context.ring.recordEvent({ type: 'table-adopted', detail: { revision: table.revision } });
    },
    adoptServers: () => {},
    adoptMembers: (members) => {
      directory.adoptMembers(members);
      clients.retainPeers(directory.collectAddresses());
      stock.retainIncarnations(new Set(members.map((member) => member.incarnation)));
    },
  });
  link.start();
  return {
    countInProgress: () => inProgress,
    async shutDown() {
      isDraining = true;
      context.ring.recordEvent({ type: 'drain-started', detail: {} });
      await context.clock.pause(common.drainDelay);
      const closed = once(server, 'close');
      server.close();
      server.closeIdleConnections();
      await closed;
      link.stop();
      clients.close();
      await control.close();
    },
  };
}
