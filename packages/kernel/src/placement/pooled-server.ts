import { ServerHealth } from '../health/server-health';
import type { ServerInfo } from './server-info';

/** How long a server gets no start after it refused one for lack of slots. */
const BUSY_BACKOFF_MS = 10;

/** A backend server in the pool of a dispatcher, with the dispatcher's use of its slots. */
export class PooledServer {
  readonly health = new ServerHealth();

  /** Number of attempts of this dispatcher that hold a slot. */
  running = 0;

  /** Number of slots that this dispatcher may fill. */
  allowance = 0;

  /** When this dispatcher last sent a start, in monotonic milliseconds. */
  lastStartAtMs = -Infinity;

  private pausedUntilMs = -Infinity;

  private hasReportedLeaving = false;

  constructor(public info: ServerInfo) {}

  /** Counts the slots that this dispatcher may fill and does not use. */
  countFreeSlots(): number {
    return Math.max(0, this.allowance - this.running);
  }

  /** Returns whether the server may get a start now. */
  canStart(nowMs: number): boolean {
    if (this.isLeaving() || nowMs < this.pausedUntilMs) {
      return false;
    }
    return this.countFreeSlots() > 0 && this.health.canStart(nowMs);
  }

  /** Returns whether the instance list or the server itself reports that it is shutting down. */
  isLeaving(): boolean {
    return this.info.leaving || this.hasReportedLeaving;
  }

  /** Records the server's own report that it is leaving; it overrides the list, which may lag. */
  markLeaving(): void {
    this.hasReportedLeaving = true;
  }

  /** Records that a start was sent. */
  recordStart(nowMs: number): void {
    this.running += 1;
    this.lastStartAtMs = nowMs;
    this.health.recordStart();
  }

  /** Pauses starts after the server refused one for lack of slots. */
  pauseStarts(nowMs: number): void {
    this.pausedUntilMs = nowMs + BUSY_BACKOFF_MS;
  }
}
