import { randomBytes } from 'node:crypto';
import { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import '@guavaspindle/kernel/placement/assigned-placement';
import '@guavaspindle/kernel/placement/random-placement';
import { placementPolicies } from '@guavaspindle/kernel/placement/placement-policies';
import '@guavaspindle/kernel/queue/fair-queue';
import '@guavaspindle/kernel/queue/fifo-queue';
import { queuePolicies } from '@guavaspindle/kernel/queue/queue-policies';
import { TicketIssuer } from '@guavaspindle/kernel/submission/ticket-issuer';
import { IdempotencyLedger } from '@guavaspindle/platform/ledger/idempotency-ledger';
import '@guavaspindle/platform/store/consul-store';
import { storeAdapters } from '@guavaspindle/platform/store/store-adapters';
import {
  DispatcherService,
  ProcessService,
  Role,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { AgentLink } from '@guavaspindle/runtime/agent/agent-link';
import { ControlServer } from '@guavaspindle/runtime/control/control-server';
import { buildProcessService } from '@guavaspindle/runtime/events/build-process-service';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { RunningProcess } from '@guavaspindle/runtime/process/running-process';
import { getPlugin } from '@guavaspindle/runtime/process/get-plugin';
import type { z } from 'zod';
import { buildLoadReport } from './agent/build-load-report';
import { readServers } from './agent/read-servers';
import { DispatchEngine } from './dispatch-engine';
import { TaskExecutor } from './execution/task-executor';
import { LimitBroker } from './peers/limit-broker';
import { PeerDirectory } from './peers/peer-directory';
import { SlotReporter } from './peers/slot-reporter';
import { DispatcherServer } from './service/dispatcher-server';
import type { dispatcherSchema } from './settings';

const TICKET_SECRET_BYTES = 32;
const DRAIN_POLL_INTERVAL_MS = 20;

/** Builds a dispatcher from its components and opens its control port. */
export async function buildDispatcher(
  settings: z.infer<typeof dispatcherSchema>,
  context: ProcessContext,
  beginShutdown: () => void,
): Promise<RunningProcess> {
  const { process: processSettings, dispatcher, platform } = settings;
  const { clock, ring, metrics, incarnation } = context;
  const domain = processSettings.domain as DomainName;
  const placement = getPlugin(placementPolicies, dispatcher.placementPolicy);
  const kernel = new DispatchKernel({
    domain,
    share: { index: dispatcher.index, count: dispatcher.count },
    peerView: { self: incarnation, peers: [] },
    queuePolicy: getPlugin(queuePolicies, dispatcher.queuePolicy)(),
    placementPolicy: placement(Math.random),
    answerRetentionMs: dispatcher.answerRetention,
    maxAnswerBytes: dispatcher.answerMemory,
  });
  const executor = new TaskExecutor(clock, {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after assignment
    reportLeaving: (server) => engine.markLeaving(server),
  });
  const peers = new PeerDirectory(incarnation, domain);
  const broker = new LimitBroker({
    borrower: kernel.borrower,
    clock,
    ring,
    peers,
    interceptors: context.clientInterceptors,
  });
  const engine = new DispatchEngine({ kernel, executor, broker, clock, ring, metrics });
  const store = getPlugin(storeAdapters, platform.adapter)(platform.store);
  const server = new DispatcherServer({
    engine,
    kernel,
    ticketIssuer: new TicketIssuer(domain, incarnation, randomBytes(TICKET_SECRET_BYTES)),
    ledger: new IdempotencyLedger(store, clock, platform.keyRetention, platform.ledgerBatches),
    clock,
    recordSlotReport: (report) => {
      peers.recordSlotReport(report);
      engine.adoptPeers(peers.buildPeerView());
    },
  });
  const controlServer = new ControlServer((router) => {
    router.service(DispatcherService, server);
    router.service(ProcessService, buildProcessService(ring, beginShutdown));
  }, context.serverInterceptors);
  await controlServer.listen(processSettings.control);
  let isDraining = false;
  const agentLink = new AgentLink(context, {
    role: Role.DISPATCHER,
    domain,
    address: processSettings.control,
    agents: processSettings.agents,
    reportLoad: () => ({ ...buildLoadReport(kernel), draining: isDraining }),
    adoptTable: (table) => engine.adoptTable(table),
    adoptServers: (servers) => engine.adoptServers(readServers(servers)),
    adoptMembers: (members) => {
      peers.adoptMembers(members);
      engine.adoptPeers(peers.buildPeerView());
    },
  });
  const slotReporter = new SlotReporter({
    incarnation,
    clock,
    kernel,
    peers,
    interceptors: context.clientInterceptors,
  });
  agentLink.start();
  slotReporter.start();
  return {
    countInProgress: () => kernel.countOpenJobs(),
    async shutDown() {
      isDraining = true;
      engine.beginDrain();
      await agentLink.syncNow();
      while (kernel.countOpenJobs() > 0) {
        // eslint-disable-next-line no-await-in-loop -- polls until the accepted jobs have ended
        await clock.pause(DRAIN_POLL_INTERVAL_MS);
      }
      // Lets the calls that wait for the last answers end.
      await controlServer.close();
      agentLink.stop();
      slotReporter.stop();
      engine.close();
      await store.close();
    },
  };
}
