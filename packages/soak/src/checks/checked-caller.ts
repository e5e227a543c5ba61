/* eslint-disable no-await-in-loop -- one try after the other */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { CallerOutcome } from '@guavaspindle/platform-adapter/stand-ins/caller-outcome';
import type { AnswerBook } from './answer-book';
import { CallerConnection } from './caller-connection';
import type { CallerRequest } from './caller-request';
import type { ExchangeResult } from './exchange-result';

const HTTP_OK = 200;
const HTTP_GONE = 410;
/** Response statuses which mean that the job was not accepted. */
const REFUSAL_STATUSES: readonly number[] = [404, 429, 503];
/** A caller that stays waits so long for an answer after its deadline. */
const LATE_MS = 2_000;
/** One request of so many asks to close, or has a delayed or a large body. */
const LAST_SHARE = 8;
const DELAYED_SHARE = 6;
const LARGE_SHARE = 8;
/** Below the limit of the configuration. */
const MOST_BODY_BYTES = 200_000;
const MOST_BODY_DELAY_MS = 20;
/** Idle connections to an instance, and the share of requests that open another one. */
const MOST_IDLE = 24;
const OPENING_SHARE = 3;
/** Callers draw a number below this for each request whether they leave at its deadline. */
const LEAVING_RANGE = 8;

/** A job with one step. */
interface CallerJob {
  readonly id: string;
  readonly taskCount: number;
  readonly cpuMilli: number;
  readonly runMs: number;
}

/** Sends requests over connections that stay open, and books how they end. */
export class CheckedCaller {
  private readonly random;

  private readonly idle = new Map<string, CallerConnection[]>();

  /**
   * @param isInRotation - whether the instance with an index gets new connections
   * @param leaving - of eight requests so many are given up at their deadline
   */
  constructor(
    seed: number,
    private readonly addresses: readonly string[],
    private readonly isInRotation: (index: number) => boolean,
    private readonly book: AnswerBook,
    private readonly leaving: number,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /** Submits a job once and waits for its outcome; `open` if there is none. */
  async sendJob(
    target: number,
    job: CallerJob,
    timeoutMs: number,
    prefix = '/q/',
  ): Promise<CallerOutcome> {
    const result = await this.sendRequest(target, {
      method: 'POST',
      path: prefix + job.id,
      body: this.buildBody(job),
      deadlineMs: timeoutMs,
      waitMs: this.pickWaitMs(timeoutMs),
      isLast: this.pickOneOf(LAST_SHARE),
      bodyDelayMs: this.pickOneOf(DELAYED_SHARE)
        ? uniformInt(this.random, 1, MOST_BODY_DELAY_MS)
        : 0,
    });
    if (result.kind !== 'answered') {
      return 'open';
    }
    if (REFUSAL_STATUSES.includes(result.status)) {
      return 'refused';
    }
    if (result.status !== HTTP_OK) {
      return 'open';
    }
    const { state } = JSON.parse(result.text) as { readonly state: string };
    return state === 'completed' ? 'completed' : 'failed';
  }

  /** Cancels a job. `open`: no answer, or one that asks to try again. */
  async cancelJob(
    target: number,
    id: string,
    timeoutMs: number,
  ): Promise<'cancelled' | 'not-found' | 'open'> {
    const result = await this.askFor(target, 'DELETE', `/q/${id}`, timeoutMs);
    const status = result.kind === 'answered' ? result.status : undefined;
    if (status === HTTP_GONE) {
      return 'not-found';
    }
    return status === HTTP_OK ? 'cancelled' : 'open';
  }

  /** Sends a request without a body. */
  async askFor(
    target: number,
    method: 'GET' | 'DELETE',
    path: string,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const waitMs = this.pickWaitMs(timeoutMs);
    const isLast = this.pickOneOf(LAST_SHARE);
    return this.sendRequest(target, {
      method,
      path,
      deadlineMs: timeoutMs,
      waitMs,
      isLast,
      bodyDelayMs: 0,
    });
  }

  /** Closes all connections. */
  close(): void {
    [...this.idle.values()].flat().forEach((connection) => connection.close());
  }

  /** Sends a request; again if its connection has ended before it was sent. */
  private async sendRequest(target: number, request: CallerRequest): Promise<ExchangeResult> {
    for (let tries = 1; ; tries += 1) {
      const connection = this.takeConnection(target);
      const record = await connection.sendRequest(request);
      this.book.addRecord(record);
      if (connection.isOpen) {
        this.listIdle(connection.address).push(connection);
      }
      if (record.result.kind !== 'unsent' || tries >= this.addresses.length) {
        return record.result;
      }
    }
  }

  /**
   * Takes an idle connection, or opens one. Like the platform, opens none to an instance that is not ready,
   * unless none is.
   */
  private takeConnection(target: number): CallerConnection {
    const order = this.addresses.map((_address, index) => (target + index) % this.addresses.length);
    const index =
      order.find((at) => this.isInRotation(at) || this.listIdle(this.addresses[at]!).length > 0) ??
      target;
    const address = this.addresses[index]!;
    const idle = this.listIdle(address);
    // More connections than requests under way, so that some have been idle for long.
    const opensMore =
      idle.length < MOST_IDLE && this.isInRotation(index) && this.pickOneOf(OPENING_SHARE);
    return idle.length === 0 || opensMore
      ? new CallerConnection(address)
      : idle.splice(uniformInt(this.random, 0, idle.length - 1), 1)[0]!;
  }

  /** The idle connections to an address that are still open. */
  private listIdle(address: string): CallerConnection[] {
    const open = (this.idle.get(address) ?? []).filter((connection) => connection.isOpen);
    this.idle.set(address, open);
    return open;
  }

  private buildBody({ runMs, taskCount, cpuMilli }: CallerJob): string {
    const body = JSON.stringify({
      specification: `run=${runMs}`,
      bestEffort: true,
      steps: [{ count: taskCount, cpu: cpuMilli, memMb: 64, estimatedMs: runMs }],
    });
    return this.pickOneOf(LARGE_SHARE)
      ? body.padEnd(uniformInt(this.random, 1, MOST_BODY_BYTES))
      : body;
  }

  private pickWaitMs(timeoutMs: number): number {
    const leaves = uniformInt(this.random, 1, LEAVING_RANGE) <= this.leaving;
    return leaves ? timeoutMs : timeoutMs + LATE_MS;
  }

  private pickOneOf(share: number): boolean {
    return uniformInt(this.random, 1, share) === 1;
  }
}
