/* eslint-disable no-await-in-loop -- the store is asked again until it answers */
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';

/** Pause after the store has not answered. */
const RETRY_PAUSE_MS = 100;

interface FleetKnowledgeOptions {
  readonly clock: Clock;
  /** Reads all server entries from the store and adopts them; returns false if the store does not answer. */
  readServers(): Promise<boolean>;
  /** Reads the claim from the store; returns whether it is known to be still in force. */
  confirmClaim(): Promise<boolean>;
  /** Called when the entries have been read. */
  onServersRead(): void;
  /** Called when a server that has registered after the claim may be used. */
  onServerConfirmed(report: ServerReport): void;
}

/**
 * Lets the leader of a part know all servers on which an earlier leader may have runs, although each
 * instance follows the server entries at its own pace. A leader uses a server that registered after its claim
 * only once it has read since then that the claim is still in force; so the server registered before
 * any later claim, and the entries that are read after that claim include it.
 */
export class FleetKnowledge {
  private hasRead = false;

  private isReading = false;

  /** Servers that registered after the claim and may not be used yet, with their latest reports. */
  private readonly unconfirmed = new Map<ServerId, ServerReport>();

  private isConfirming = false;

  private isClosed = false;

  /** @param claimRevision - store revision of the claim */
  constructor(
    private claimRevision: number,
    private readonly options: FleetKnowledgeOptions,
  ) {}

  /** Whether the entries have been read since the claim. */
  get isComplete(): boolean {
    return this.hasRead;
  }

  /** Reads the server entries, again after each failure. */
  async readServers(): Promise<void> {
    this.hasRead = false;
    if (this.isReading) {
      return;
    }
    this.isReading = true;
    while (!this.isClosed && !this.hasRead) {
      const { claimRevision } = this;
      const isRead = await this.options.readServers();
      this.hasRead = isRead && claimRevision === this.claimRevision;
      if (!isRead) {
        await this.options.clock.pause(RETRY_PAUSE_MS);
      }
    }
    this.isReading = false;
    if (!this.isClosed) {
      this.options.onServersRead();
    }
  }

  /** Continues with a later claim. */
  async adoptClaim(claimRevision: number): Promise<void> {
    this.claimRevision = claimRevision;
    await this.readServers();
  }

  /**
   * Returns whether a server may be used now; otherwise `onServerConfirmed` follows.
   *
   * @param registeredRevision - store revision at which the server's entry was created
   */
  admitServer(report: ServerReport, registeredRevision: number): boolean {
    if (registeredRevision <= this.claimRevision) {
      this.unconfirmed.delete(report.id);
      return true;
    }
    this.unconfirmed.set(report.id, report);
    void this.confirmServers();
    return false;
  }

  /** Forgets a server whose entry is gone. */
  dropServer(id: ServerId): void {
    this.unconfirmed.delete(id);
  }

  /** Asks the store no more. */
  close(): void {
    this.isClosed = true;
  }

  private async confirmServers(): Promise<void> {
    if (this.isConfirming) {
      return;
    }
    this.isConfirming = true;
    while (!this.isClosed && this.unconfirmed.size > 0) {
      const asked = [...this.unconfirmed.keys()];
      if (await this.options.confirmClaim()) {
        if (!this.isClosed) {
          this.releaseServers(asked);
        }
      } else {
        await this.options.clock.pause(RETRY_PAUSE_MS);
      }
    }
    this.isConfirming = false;
  }

  private releaseServers(ids: readonly ServerId[]): void {
    ids.forEach((id) => {
      const report = this.unconfirmed.get(id);
      if (report !== undefined) {
        this.unconfirmed.delete(id);
        this.options.onServerConfirmed(report);
      }
    });
  }
}
