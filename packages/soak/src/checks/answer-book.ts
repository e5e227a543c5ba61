import type { AnswerCounts } from './answer-counts';
import type { RequestRecord } from './request-record';

/** A fault counts against requests that are sent up to this long after it. */
const CONTACT_MS = 3_000;
/** Time in which the end of a connection reaches the other side. */
const NETWORK_DELAY_MS = 5;
/** A request that was not read may be cut up to this long after it was sent. */
const LOSS_SLACK_MS = 200;
/** A request up to this size arrives in one piece. */
const MOST_PIECE_BYTES = 16_384;
/** Signals of its instance that are named beside a request. */
const MOST_SIGNALS = 4;

/** Collects the requests that were sent completely, and tells which of them have got no answer. */
export class AnswerBook {
  private readonly records: RequestRecord[] = [];

  private readonly faults: { readonly fromMs: number; readonly toMs: number }[] = [];

  private readonly planned: {
    readonly atMs: number;
    readonly what: string;
    readonly place: string | undefined;
  }[] = [];

  /** @param startMs - monotonic time from which messages count */
  constructor(private readonly startMs: number) {}

  /** Notes a fault that excuses a request without an answer. */
  addFault(fromMs: number, toMs: number): void {
    this.faults.push({ fromMs, toMs });
  }

  /**
   * Notes planned work, which excuses nothing.
   * @param place - address of the instance; undefined if the work concerns all
   */
  addPlanned(atMs: number, what: string, place?: string): void {
    this.planned.push({ atMs, what, place });
  }

  /** Notes a request that has ended. */
  addRecord(record: RequestRecord): void {
    this.records.push(record);
  }

  /** Requests by how they ended. */
  countAnswers(): AnswerCounts {
    const counts = {
      answered: 0,
      late: 0,
      cut: 0,
      silent: 0,
      left: 0,
      unreadIdle: 0,
      unreadNew: 0,
      excused: 0,
      oldestUnreadMs: 0,
    };
    this.records.forEach((record) => {
      const kind = this.classify(record);
      if (kind !== undefined) {
        counts[kind] += 1;
      }
      if (kind === 'unreadIdle' || kind === 'unreadNew') {
        const ageMs = Math.round(record.endedAtMs - record.sentAtMs);
        counts.oldestUnreadMs = Math.max(counts.oldestUnreadMs, ageMs);
      }
    });
    return counts;
  }

  /** Lists the requests that had to be answered and were not, in words. */
  listUnanswered(): string[] {
    return this.records
      .filter((record) => ['cut', 'silent'].includes(this.classify(record) ?? ''))
      .map((record) => this.describe(record));
  }

  /** Returns undefined for a request that was not sent completely. */
  private classify({
    request,
    result,
    beganAtMs,
    sentAtMs,
    endedAtMs,
    position,
  }: RequestRecord): Exclude<keyof AnswerCounts, 'oldestUnreadMs'> | undefined {
    if (result.kind === 'unsent') {
      return undefined;
    }
    if (result.kind === 'answered') {
      return endedAtMs - beganAtMs > request.deadlineMs ? 'late' : 'answered';
    }
    if (result.kind === 'silent' && request.waitMs <= request.deadlineMs) {
      return 'left';
    }
    if (
      this.faults.some(({ fromMs, toMs }) => fromMs <= endedAtMs && toMs + CONTACT_MS >= beganAtMs)
    ) {
      return 'excused';
    }
    if (result.kind === 'silent') {
      return 'silent';
    }
    // HTTP/1.1 cannot keep a server from closing a connection while a request is on its way. A request that
    // arrives in pieces may have been answered before it was read completely.
    const isOnePiece = request.bodyDelayMs === 0 && (request.body ?? '').length < MOST_PIECE_BYTES;
    const isUnread = result.isUnread || result.isReset;
    const ageMs = endedAtMs - sentAtMs;
    if (isOnePiece && isUnread && ageMs <= LOSS_SLACK_MS) {
      return position > 1 ? 'unreadIdle' : 'unreadNew';
    }
    // A server that goes on reading after its end does not reject what arrives.
    if (isOnePiece && position > 1 && ageMs <= NETWORK_DELAY_MS) {
      return 'unreadIdle';
    }
    return 'cut';
  }

  private describe(record: RequestRecord): string {
    const { request, address, result, sentAtMs, endedAtMs, position } = record;
    const ageMs = (endedAtMs - sentAtMs).toFixed(1);
    const sentAtS = ((sentAtMs - this.startMs) / 1_000).toFixed(3);
    const how =
      result.kind === 'cut'
        ? `cut (${result.isReset ? 'reset' : 'closed'}${result.isUnread ? ', unread' : ''})`
        : 'not answered';
    const before = this.planned.filter(
      ({ atMs, place = address }) => atMs <= endedAtMs && place === address,
    );
    const signals = before.filter(({ place }) => place !== undefined).slice(-MOST_SIGNALS);
    const others = before.filter(({ place }) => place === undefined).slice(-1);
    const planned = [...signals, ...others].map(
      ({ atMs, what }) => `${what} ${Math.round(endedAtMs - atMs)}`,
    );
    return [
      `${request.method} ${request.path} to ${address} is ${how} ${ageMs} ms after it was sent`,
      `at ${sentAtS} s as request ${position} of its connection`,
      ...(request.isLast ? ['asks to close'] : []),
      ...(request.bodyDelayMs > 0 ? [`body after ${request.bodyDelayMs} ms`] : []),
      `planned work, ms before the end: ${planned.join(', ')}`,
    ].join('; ');
  }
}
