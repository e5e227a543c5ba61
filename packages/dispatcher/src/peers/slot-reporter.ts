import type { Interceptor } from '@connectrpc/connect';
import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { DispatcherService } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import type { PeerDirectory } from './peer-directory';

/** Time between reports; they go to one peer after the other, whatever the number of peers. */
const REPORT_INTERVAL_MS = 50;
const REPORT_TIMEOUT_MS = 500;
/** A report is repeated after this time even if nothing changed, in case the peer dropped it. */
const MAX_REPORT_AGE_MS = 1_000;

/** What the reporter works with. */
interface SlotReporterDependencies {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly kernel: DispatchKernel;
  readonly peers: PeerDirectory;
  readonly interceptors: Interceptor[];
}

/** A report that a peer took. */
interface AcknowledgedReport {
  readonly text: string;
  readonly sentAtMs: number;
}

/** Tells the other dispatchers of the failure domain which slots this one uses. */
export class SlotReporter {
  private readonly clients: ClientPool<typeof DispatcherService>;

  /** The last report that each peer took, by incarnation. */
  private readonly acknowledgedReports = new Map<string, AcknowledgedReport>();

  private timer: NodeJS.Timeout | undefined;

  private peerTurn = 0;

  constructor(private readonly dependencies: SlotReporterDependencies) {
    this.clients = new ClientPool(DispatcherService, dependencies.interceptors);
  }

  /** Starts the reports. */
  start(): void {
    this.timer = setInterval(() => {
      void this.reportToNextPeer();
    }, REPORT_INTERVAL_MS);
  }

  /** Stops the reports. */
  stop(): void {
    clearInterval(this.timer);
    this.clients.close();
  }

  /** Reports to the next peer, unless it has heard the same already. Never rejects. */
  private async reportToNextPeer(): Promise<void> {
    const { peers, clock, incarnation } = this.dependencies;
    const listedPeers = peers.listPeers();
    this.peerTurn += 1;
    const peer = listedPeers[this.peerTurn % Math.max(1, listedPeers.length)];
    if (peer === undefined) {
      return;
    }
    const slotUse = [...this.dependencies.kernel.collectSlotUse()].map(([server, used]) => ({
      server,
      used,
    }));
    const text = JSON.stringify(slotUse);
    const last = this.acknowledgedReports.get(peer.incarnation);
    const nowMs = clock.now();
    if (last?.text === text && nowMs - last.sentAtMs < MAX_REPORT_AGE_MS) {
      return;
    }
    try {
      await this.clients
        .getClient(peer.address)
        .reportSlots({ incarnation, slotUse }, { timeoutMs: REPORT_TIMEOUT_MS });
      this.acknowledgedReports.set(peer.incarnation, { text, sentAtMs: nowMs });
    } catch {
      // The peer hears the next report, or the agent's list drops it.
      this.acknowledgedReports.delete(peer.incarnation);
    }
  }
}
