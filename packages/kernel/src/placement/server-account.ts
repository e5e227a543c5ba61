import { ServerHealth } from '../health/server-health';
import type { ServerInfo } from './server-info';

/** How long a server that refused a start is left alone. */
const BUSY_PAUSE_MS = 10;

/** One backend server's slots as this dispatcher uses them. */
export class ServerAccount {
  readonly health = new ServerHealth();

  /** Attempts of this dispatcher that hold a slot. */
  running = 0;

  /** Slots that this dispatcher may fill. */
  allowance = 0;

  /** When this dispatcher last sent a start, in milliseconds. */
  startedAtMs = -Infinity;

  private pausedUntilMs = -Infinity;

  private leftByOwnReply = false;

  constructor(public info: ServerInfo) {}

  /** Slots that this dispatcher could fill now. */
  countFree(): number {
    return Math.max(0, this.allowance - this.running);
  }

  /** Tells whether the server may get a start now. */
  canStart(nowMs: number): boolean {
    if (this.isLeaving() || nowMs < this.pausedUntilMs) {
      return false;
    }
    return this.countFree() > 0 && this.health.canStart(nowMs);
  }

  /** Tells whether the list or the server itself says that it leaves. */
  isLeaving(): boolean {
    return this.info.leaving || this.leftByOwnReply;
  }

  /** Notes the server's own word that it leaves; it holds whatever the lagging list says. */
  markLeaving(): void {
    this.leftByOwnReply = true;
  }

  /** Notes that a start was sent. */
  recordStart(nowMs: number): void {
    this.running += 1;
    this.startedAtMs = nowMs;
    this.health.recordStart();
  }

  /** Notes a refusal for lack of slots. */
  pauseStarts(nowMs: number): void {
    this.pausedUntilMs = nowMs + BUSY_PAUSE_MS;
  }
}
