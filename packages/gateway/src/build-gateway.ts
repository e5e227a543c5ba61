import {
  DispatcherService,
  ProcessService,
  Role,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { AgentLink } from '@guavaspindle/runtime/agent/agent-link';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import { ControlServer } from '@guavaspindle/runtime/control/control-server';
import { buildProcessService } from '@guavaspindle/runtime/events/build-process-service';
import { DrainingHttpServer } from '@guavaspindle/runtime/http/draining-http-server';
import { KeyRing } from '@guavaspindle/runtime/http/key-ring';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { RunningProcess } from '@guavaspindle/runtime/process/running-process';
import { VError } from 'verror';
import type { z } from 'zod';
import { buildApp } from './http/build-app';
import { DispatcherDirectory } from './routing/dispatcher-directory';
import { SubmissionRouter } from './routing/submission-router';
import { TicketPool } from './routing/ticket-pool';
import type { gatewaySchema } from './settings';

/** Time before the drain deadline at which open requests are answered that their outcome is unknown. */
const ANSWER_MARGIN_MS = 1_000;

/** Builds a gateway, opens its HTTP and control ports and connects it to an agent. */
export async function buildGateway(
  settings: z.infer<typeof gatewaySchema>,
  context: ProcessContext,
  beginShutdown: () => void,
): Promise<RunningProcess> {
  const { process: processSettings, gateway } = settings;
  const directory = new DispatcherDirectory();
  const ticketPool = new TicketPool();
  const clients = new ClientPool(DispatcherService, context.clientInterceptors);
  let isDraining = false;
  let hasTable = false;
  const router = new SubmissionRouter({
    domain: processSettings.domain,
    directory,
    clients,
    ticketPool,
    clock: context.clock,
  });
  const app = buildApp({
    router,
    keys: new KeyRing(settings.callers),
    ring: context.ring,
    log: context.log,
    maxBodyBytes: gateway.maxBody,
    isReady: () => hasTable && !isDraining && directory.countAvailable(processSettings.domain) > 0,
    countDispatchers: () => directory.countAvailable(processSettings.domain),
  });
  const server = new DrainingHttpServer(app.fetch, {
    clock: context.clock,
    log: context.log,
    maxBodyBytes: gateway.maxBody,
  });
  const control = new ControlServer((controlRouter) => {
    controlRouter.service(ProcessService, buildProcessService(context.ring, beginShutdown));
  }, context.serverInterceptors);
  await control.listen(processSettings.control);
  await server.listen(gateway.listen);
  const link = new AgentLink(context, {
    role: Role.GATEWAY,
    domain: processSettings.domain,
    address: processSettings.control,
    agents: processSettings.agents,
    reportLoad: () => ({ draining: isDraining }),
    adoptTable: (table) => {
      hasTable = true;
      context.ring.recordEvent({ type: 'table-adopted', detail: { revision: table.revision } });
    },
    adoptServers: () => {},
    adoptMembers: (members) => {
      directory.replaceMembers(members);
      clients.retainPeers(directory.collectAddresses());
      ticketPool.retainIncarnations(new Set(members.map((member) => member.incarnation)));
    },
  });
  link.start();
  return {
    countInProgress: () => server.countRequests(),
    async shutDown() {
      isDraining = true;
      server.beginClosing();
      context.ring.recordEvent({ type: 'drain-started', detail: {} });
      await context.clock.pause(processSettings.drainDelay);
      const cut = await server.close(
        processSettings.drainDeadline - processSettings.drainDelay - ANSWER_MARGIN_MS,
      );
      link.stop();
      clients.close();
      await control.close();
      if (cut > 0) {
        throw new VError({ info: { cut } }, 'requests were open at the drain deadline');
      }
    },
  };
}
