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
const REPEAT_MS = 1_000;

/** What the reporter works with. */
interface SlotReporterParts {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly kernel: DispatchKernel;
  readonly peers: PeerDirectory;
  readonly interceptors: Interceptor[];
}

/** A report that a peer took. */
interface TakenReport {
  readonly text: string;
  readonly atMs: number;
}

/** Tells the other dispatchers of the failure domain which slots this one uses. */
export class SlotReporter {
  private readonly clients: ClientPool<typeof DispatcherService>;

  /** The last report that each peer took, by incarnation. */
  private readonly taken = new Map<string, TakenReport>();

  private timer: NodeJS.Timeout | undefined;

  private turn = 0;

  constructor(private readonly parts: SlotReporterParts) {
    this.clients = new ClientPool(DispatcherService, parts.interceptors);
  }

  /** Starts the reports. */
  start(): void {
    this.timer = setInterval(() => {
      void this.reportToNext();
    }, REPORT_INTERVAL_MS);
  }

  /** Stops the reports. */
  stop(): void {
    clearInterval(this.timer);
    this.clients.close();
  }

  /** Reports to the next peer, unless it has heard the same already. Never rejects. */
  private async reportToNext(): Promise<void> {
    const { peers, clock, incarnation } = this.parts;
    const listed = peers.listPeers();
    this.turn += 1;
    const peer = listed[this.turn % Math.max(1, listed.length)];
    if (peer === undefined) {
      return;
    }
    const slotUse = [...this.parts.kernel.collectSlotUse()].map(([server, used]) => ({
      server,
      used,
    }));
    const text = JSON.stringify(slotUse);
    const last = this.taken.get(peer.incarnation);
    const nowMs = clock.now();
    if (last?.text === text && nowMs - last.atMs < REPEAT_MS) {
      return;
    }
    try {
      await this.clients
        .getClient(peer.address)
        .reportSlots({ incarnation, slotUse }, { timeoutMs: REPORT_TIMEOUT_MS });
      this.taken.set(peer.incarnation, { text, atMs: nowMs });
    } catch {
      // The peer hears the next report, or the agent's list drops it.
      this.taken.delete(peer.incarnation);
    }
  }
}
