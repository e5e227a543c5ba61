import type { Interceptor } from '@connectrpc/connect';
import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { DispatcherService } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import type { PeerDirectory } from './peer-directory';

/** Interval between reports. Each goes to the next peer in turn, however many peers there are. */
const REPORT_INTERVAL_MS = 50;
const REPORT_TIMEOUT_MS = 500;
/** An unchanged report is sent again after this time, in case the peer has dropped it. */
const MAX_REPORT_AGE_MS = 1_000;

/** The components that the reporter uses. */
interface SlotReporterDependencies {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly kernel: DispatchKernel;
  readonly peers: PeerDirectory;
  readonly interceptors: Interceptor[];
}

/** A report that a peer has acknowledged. */
interface AcknowledgedReport {
  readonly text: string;
  readonly sentAtMs: number;
}

/** Reports to the other dispatchers of the failure domain which slots this one uses. */
export class SlotReporter {
  private readonly clients: ClientPool<typeof DispatcherService>;

  /** The last report that each peer acknowledged, by the peer's incarnation. */
  private readonly acknowledgedReports = new Map<string, AcknowledgedReport>();

  private timer: NodeJS.Timeout | undefined;

  private peerTurn = 0;

  constructor(private readonly dependencies: SlotReporterDependencies) {
    this.clients = new ClientPool(DispatcherService, dependencies.interceptors);
  }

  /** Starts to send reports periodically. */
  start(): void {
    this.timer = setInterval(() => {
      void this.reportToNextPeer();
    }, REPORT_INTERVAL_MS);
  }

  /** Stops the reports and closes the connections to the peers. */
  stop(): void {
    clearInterval(this.timer);
    this.clients.close();
  }

  /** Reports to the next peer, unless it recently acknowledged the same report. Never rejects. */
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
      // The peer gets a report at its next turn, unless the agent's list no longer contains it.
      this.acknowledgedReports.delete(peer.incarnation);
    }
  }
}
