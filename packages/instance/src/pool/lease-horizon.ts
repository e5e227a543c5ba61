import type { StartResult } from '@guavaspindle/platform-adapter/servers/start-result';
import type { ServerLife } from './server-life';

/** A server's clock may run at this share of true time, as the platform's rules allow. */
const SLOWEST_CLOCK = 0.98;
/** Network delay allowed for when waiting for a lease to end. */
const LEASE_MARGIN_MS = 50;
/**
 * Longest time after which an order without an answer is taken to be carried out. The platform's rules say seconds,
 * and name no number.
 */
const MAX_ORDER_DELAY_MS = 10_000;

/** A call in progress that may extend the leases on a server. */
interface LeaseCall {
  readonly sentAtMs: number;
  /** When the leases end at the latest if the call reaches the life whose clock it goes by. */
  readonly endsAtMs: number;
  /** Start of that life, in Unix milliseconds; undefined if none has answered. */
  readonly lifeStartedAtMs: number | undefined;
  /** Whether the call may reach another life. */
  readonly isStart: boolean;
}

/** A start without an answer that may reach another life than the one whose clock it goes by. */
interface DoubtfulStart extends LeaseCall {
  readonly settledAtMs: number;
}

/** Computes how much later than named a lease may end, if the clock was read so long before the call. */
function computeDriftMs(clockAgeMs: number): number {
  return Math.min(MAX_ORDER_DELAY_MS, clockAgeMs / SLOWEST_CLOCK - clockAgeMs);
}

/**
 * Until when the leases on a server may last, by all calls that may extend them; in own monotonic milliseconds. The end
 * of a lease is named on the server's clock, and a life of the server accepts the end that is meant for another one.
 */
export class LeaseHorizon {
  /** Longest time from the arrival of a call to the end of the leases that it extends. */
  private readonly termMs: number;

  /** By the calls that are settled and in no doubt. */
  private endsAtMs: number;

  private readonly openCalls = new Set<LeaseCall>();

  private doubtfulStarts: readonly DoubtfulStart[] = [];

  /** @param nowMs - until when an earlier leader may have extended leases */
  constructor(nowMs: number, maxLeaseMs: number) {
    this.termMs = maxLeaseMs / SLOWEST_CLOCK + LEASE_MARGIN_MS;
    this.endsAtMs = nowMs + this.termMs;
  }

  /** Records a call whose lease end goes by the clock of a life. */
  openCall(kind: 'start' | 'renewal', sentAtMs: number, life: ServerLife | undefined): LeaseCall {
    const clockAgeMs = life === undefined ? 0 : sentAtMs - life.answeredAtMs;
    const call = {
      sentAtMs,
      endsAtMs: this.computeEndMs(sentAtMs, clockAgeMs),
      lifeStartedAtMs: life?.startedAtMs,
      isStart: kind === 'start',
    };
    this.openCalls.add(call);
    return call;
  }

  /** Records that a renewal has been answered, or has been given up. It reaches no other life. */
  settleRenewal(call: LeaseCall, isAnswered: boolean, nowMs: number): void {
    this.openCalls.delete(call);
    this.extend(isAnswered ? Math.min(call.endsAtMs, nowMs + this.termMs) : call.endsAtMs);
  }

  /** Records the result of a start. */
  settleStart(call: LeaseCall, { kind, clockAgeMs }: StartResult, nowMs: number): void {
    this.openCalls.delete(call);
    const isClockKnown = clockAgeMs !== undefined;
    const knownEndMs = isClockKnown ? this.computeEndMs(call.sentAtMs, clockAgeMs) : Infinity;
    switch (kind) {
      case 'not-sent':
        return;
      case 'no-answer':
        if (isClockKnown) {
          this.extend(knownEndMs);
        } else {
          this.doubtfulStarts = [...this.doubtfulStarts, { ...call, settledAtMs: nowMs }];
        }
        return;
      case 'accepted':
      case 'refused':
      case 'fenced':
      case 'other-life':
        // Carried out by now: whatever clock its end goes by, no lease is longer than the longest.
        this.extend(Math.min(knownEndMs, nowMs + this.termMs));
        return;
      default:
        kind satisfies never;
    }
  }

  /**
   * Records that a life has answered a call. Starts that were settled before the call was sent have reached this life
   * or an earlier one, so they are in no doubt if they go by its clock.
   */
  confirmLife(startedAtMs: number, sentAtMs: number): void {
    this.doubtfulStarts = this.doubtfulStarts.filter((start) => {
      const isConfirmed = start.lifeStartedAtMs === startedAtMs && start.settledAtMs <= sentAtMs;
      if (isConfirmed) {
        this.extend(start.endsAtMs);
      }
      return !isConfirmed;
    });
  }

  /** Returns whether all leases have ended. */
  isOver(nowMs: number): boolean {
    this.doubtfulStarts = this.doubtfulStarts.filter(
      ({ sentAtMs }) => nowMs < sentAtMs + MAX_ORDER_DELAY_MS + this.termMs,
    );
    return (
      nowMs >= this.endsAtMs &&
      this.doubtfulStarts.length === 0 &&
      [...this.openCalls].every(({ isStart, endsAtMs }) => !isStart && nowMs >= endsAtMs)
    );
  }

  private computeEndMs(sentAtMs: number, clockAgeMs: number): number {
    return sentAtMs + computeDriftMs(clockAgeMs) + this.termMs;
  }

  private extend(endsAtMs: number): void {
    this.endsAtMs = Math.max(this.endsAtMs, endsAtMs);
  }
}
