import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { LeaderPort } from '../links/leader-port';
import { cancelTiming } from './cancel-timing';
import { takeRequestNumber } from './take-request-number';

interface CancelForwardsOptions {
  readonly clock: Clock;
  /** The failure domain of this instance. */
  readonly domain: DomainName;
  listParts(): readonly PoolPart[];
  findLeader(part: PartId): LeaderPort | undefined;
}

/** A cancellation that other leaders have to confirm. */
interface Forward {
  readonly id: JobId;
  readonly isKnown: boolean;
  /** The number of the requests to the leaders. */
  readonly request: number;
  /** The part whose leader forwards the cancellation. */
  readonly from: PartId;
  readonly beganAtMs: number;
  /** Parts whose present leader has been sent the cancellation. */
  readonly sent: Set<PartId>;
  readonly confirmed: Set<PartId>;
  isKnownElsewhere: boolean;
  resolve(isKnownElsewhere: boolean | undefined): void;
}

/** The cancellations that leaders in this process pass on to the leaders of the other parts. */
export class CancelForwards {
  private readonly forwards = new Map<JobId, Forward[]>();

  private timer: NodeJS.Timeout | undefined;

  private checkedAtMs = -Infinity;

  constructor(private readonly options: CancelForwardsOptions) {}

  /**
   * Cancels a job at the leaders of all parts but one. A part without a leader is waited for; one of
   * another failure domain only for a while, since the domain may be cut off. Resolves with whether one of
   * the leaders knows the job; undefined if one has not confirmed the cancellation in time.
   */
  async cancelElsewhere(from: PartId, id: JobId, isKnown: boolean): Promise<boolean | undefined> {
    if (this.options.listParts().every((part) => part.id === from)) {
      return false;
    }
    return new Promise((resolve) => {
      const forward: Forward = {
        id,
        isKnown,
        request: takeRequestNumber(),
        from,
        beganAtMs: this.options.clock.now(),
        sent: new Set(),
        confirmed: new Set(),
        isKnownElsewhere: false,
        resolve,
      };
      this.forwards.set(id, [...(this.forwards.get(id) ?? []), forward]);
      this.scheduleCheck();
    });
  }

  /**
   * Records that the leader of a part has confirmed a cancellation.
   *
   * @param request - the number of the request that is answered; undefined if the leader is of an earlier build
   */
  recordAnswer(part: PartId, id: JobId, isKnown: boolean, request?: number): void {
    this.forwards.get(id)?.forEach((forward) => {
      if ((request ?? forward.request) === forward.request && forward.sent.has(part)) {
        forward.confirmed.add(part);
        forward.isKnownElsewhere ||= isKnown;
        this.checkForward(forward, this.options.clock.now());
      }
    });
  }

  /** Sends what a part has not confirmed to its next leader, once there is one. */
  handleLeaderLost(part: PartId): void {
    this.forwards.forEach((forwards) => forwards.forEach(({ sent }) => sent.delete(part)));
  }

  private scheduleCheck(): void {
    const sinceMs = this.options.clock.now() - this.checkedAtMs;
    this.timer ??= setTimeout(
      () => {
        this.timer = undefined;
        this.checkAll();
      },
      Math.max(0, cancelTiming.forwardIntervalMs - sinceMs),
    );
  }

  private checkAll(): void {
    const nowMs = this.options.clock.now();
    this.checkedAtMs = nowMs;
    [...this.forwards.values()].flat().forEach((forward) => {
      this.sendForward(forward);
      this.checkForward(forward, nowMs);
    });
    if (this.forwards.size > 0) {
      this.scheduleCheck();
    }
  }

  private sendForward({ id, isKnown, request, from, sent, confirmed }: Forward): void {
    const { listParts, findLeader } = this.options;
    listParts().forEach(({ id: part }) => {
      const leader = findLeader(part);
      if (part !== from && leader !== undefined && !sent.has(part) && !confirmed.has(part)) {
        sent.add(part);
        leader.cancelJob(id, { isKnown, isForwarded: true, request });
      }
    });
  }

  private checkForward(forward: Forward, nowMs: number): void {
    const ageMs = nowMs - forward.beganAtMs;
    const { domain, listParts, findLeader } = this.options;
    const isConfirmed = listParts().every(
      (part) =>
        part.id === forward.from ||
        forward.confirmed.has(part.id) ||
        (part.domain !== undefined &&
          part.domain !== domain &&
          ageMs >= cancelTiming.remotePartGraceMs &&
          findLeader(part.id) === undefined),
    );
    if (isConfirmed || ageMs >= cancelTiming.forwardTimeoutMs) {
      this.endForward(forward);
      forward.resolve(isConfirmed ? forward.isKnownElsewhere : undefined);
    }
  }

  private endForward(forward: Forward): void {
    const left = (this.forwards.get(forward.id) ?? []).filter((other) => other !== forward);
    if (left.length === 0) {
      this.forwards.delete(forward.id);
    } else {
      this.forwards.set(forward.id, left);
    }
  }
}
