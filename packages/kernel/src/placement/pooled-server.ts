import { ServerHealth } from '../health/server-health';
import type { ServerInfo } from './server-info';

/** How long a server that refused a start is left alone. */
const BUSY_BACKOFF_MS = 10;

/** One backend server's slots as this dispatcher uses them. */
export class PooledServer {
  readonly health = new ServerHealth();

  /** Attempts of this dispatcher that hold a slot. */
  running = 0;

  /** Slots that this dispatcher may fill. */
  allowance = 0;

  /** When this dispatcher last sent a start, in milliseconds. */
  lastStartAtMs = -Infinity;

  private pausedUntilMs = -Infinity;

  private hasReportedLeaving = false;

  constructor(public info: ServerInfo) {}

  /** Slots that this dispatcher could fill now. */
  countFreeSlots(): number {
    return Math.max(0, this.allowance - this.running);
  }

  /** Tells whether the server may get a start now. */
  canStart(nowMs: number): boolean {
    if (this.isLeaving() || nowMs < this.pausedUntilMs) {
      return false;
    }
    return this.countFreeSlots() > 0 && this.health.canStart(nowMs);
  }

  /** Tells whether the list or the server itself says that it leaves. */
  isLeaving(): boolean {
    return this.info.leaving || this.hasReportedLeaving;
  }

  /** Notes the server's own word that it leaves; it holds whatever the lagging list says. */
  markLeaving(): void {
    this.hasReportedLeaving = true;
  }

  /** Notes that a start was sent. */
  recordStart(nowMs: number): void {
    this.running += 1;
    this.lastStartAtMs = nowMs;
    this.health.recordStart();
  }

  /** Notes a refusal for lack of slots. */
  pauseStarts(nowMs: number): void {
    this.pausedUntilMs = nowMs + BUSY_BACKOFF_MS;
  }
}
