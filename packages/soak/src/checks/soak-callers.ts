/* eslint-disable no-await-in-loop -- one try after the other */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { pause } from '../pause';
import { changingPrefixes } from '../plan/changing-prefixes';
import type { CheckedCaller } from './checked-caller';
import type { PromiseBook } from './promise-book';
import type { SoakReport } from './soak-report';

/** Kinds of job: tasks, run time in milliseconds. */
const SHAPES = [
  { taskCount: 8, runMs: 50 },
  { taskCount: 2, runMs: 170 },
  { taskCount: 3, runMs: 700 },
];
const CPU_MILLI = 27_000;
/** A job without an answer is sent again after so long, as the platform's clients do. */
const RESEND_MS = 1_300;
const DEADLINE_MS = 5_000;
/** A caller waits this long for one answer; then it closes the connection and sends the job elsewhere. */
const TRY_MS = 1_500;
/** One job of so many is cancelled, up to `CANCEL_AFTER_MS` after it was sent. */
const CANCELLED_SHARE = 6;
const CANCEL_AFTER_MS = 700;
/** A caller waits this long for the answer to a cancellation, and asks so often. */
const CANCEL_ACK_MS = 4_000;
const CANCEL_TRIES = 3;
/** A copy of the request arrives up to this long after the answer to the cancellation. */
const LATE_COPY_MS = 5_000;

/** Requests beside each job of the steady load. */
const OTHERS = 4;
const OTHER_KINDS = ['queue', 'state', 'cancel', 'cancel', 'job'] as const;
const UNKNOWN_PREFIX = '/unknown/';
/** Ids of the jobs beside the steady load, and of jobs that nobody has sent, begin here. */
const OTHER_ID = 0x1_0000_0000;
const UNKNOWN_ID = 0x1000_0000;

interface SoakJob {
  readonly id: string;
  readonly cpuMilli: number;
  readonly taskCount: number;
  readonly runMs: number;
}

/** Formats a job's id. */
function formatId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Callers that send jobs at a steady mean rate, and again after a broken answer. */
export class SoakCallers {
  private readonly random;

  private readonly open = new Set<Promise<void>>();

  private sent = 0;

  /** Jobs sent beside the steady load. */
  private others = 0;

  private readonly cancels = { cancelled: 0, 'not-found': 0, open: 0 };

  /** Draws the cancellations, so that the load of a seed is the same with and without them. */
  private readonly cancelRandom;

  /** Draws the requests beside the jobs of the steady load. */
  private readonly otherRandom;

  private rateFactor = 1;

  /** Numbers of the jobs that were answered as completed. */
  private readonly served = new Set<number>();

  constructor(
    seed: number,
    private readonly instances: number,
    private readonly caller: CheckedCaller,
    private readonly book: PromiseBook,
  ) {
    this.random = xoroshiro128plus(seed + 1);
    this.cancelRandom = xoroshiro128plus(seed + 2);
    this.otherRandom = xoroshiro128plus(seed + 3);
  }

  /** Jobs sent so far. */
  get sentCount(): number {
    return this.sent;
  }

  /** Requests to cancel a job, by answer. */
  get cancelCounts(): SoakReport['cancels'] {
    return { ...this.cancels };
  }

  /** Jobs that were served, of those sent after the first so many. */
  countServed(after = 0): number {
    return [...this.served].filter((number) => number > after).length;
  }

  /** Sends jobs for so long, cancels some of them if asked to, and does not wait for the last answers. */
  async sendJobs(jobsPerSecond: number, forMs: number, cancelsSome = false): Promise<void> {
    const endMs = performance.now() + forMs;
    const meanGapMs = 1_000 / jobsPerSecond;
    while (performance.now() < endMs) {
      const { job, sending } = this.sendJob();
      this.addCall(sending);
      if (cancelsSome && uniformInt(this.cancelRandom, 1, CANCELLED_SHARE) === 1) {
        this.addCall(this.cancelJob(job, sending));
      }
      for (let others = 0; others < OTHERS; others += 1) {
        this.addCall(this.sendOther());
      }
      await pause(this.pickBelow(Math.round((2 * meanGapMs) / this.rateFactor) + 1));
    }
  }

  /** Multiplies the load for so long. */
  applyBurst(factor: number, forMs: number): void {
    this.rateFactor *= factor;
    setTimeout(() => {
      this.rateFactor /= factor;
    }, forMs);
  }

  /** Resolves when all jobs are answered or given up. */
  async close(): Promise<void> {
    await Promise.all(this.open);
    this.caller.close();
  }

  private addCall(call: Promise<void>): void {
    this.open.add(call);
    void call.finally(() => this.open.delete(call));
  }

  private sendJob(): { readonly job: SoakJob; readonly sending: Promise<void> } {
    this.sent += 1;
    const number = this.sent;
    const id = formatId(number);
    const job = { id, cpuMilli: CPU_MILLI, ...SHAPES[this.pickBelow(SHAPES.length)]! };
    this.book.addJob(id, job.taskCount);
    return { job, sending: this.runTries(job, number) };
  }

  /** Cancels a job at any instance, and sends a late copy of its request to any. */
  private async cancelJob(job: SoakJob, sending: Promise<void>): Promise<void> {
    let isAcknowledged = false;
    await pause(uniformInt(this.cancelRandom, 0, CANCEL_AFTER_MS));
    for (let tries = 0; tries < CANCEL_TRIES; tries += 1) {
      const answer = await this.caller.cancelJob(this.pickCancelTarget(), job.id, CANCEL_ACK_MS);
      this.cancels[answer] += 1;
      if (answer === 'cancelled') {
        isAcknowledged = true;
        this.book.recordCancel(job.id);
      }
      if (answer !== 'open') {
        break;
      }
    }
    if (!isAcknowledged) {
      // A job that is not cancelled goes on, and its caller has one request for it under way at a time.
      await sending;
    }
    await pause(uniformInt(this.cancelRandom, 0, LATE_COPY_MS));
    const settle = this.book.openTry(job.id);
    settle(await this.caller.sendJob(this.pickCancelTarget(), job, TRY_MS));
  }

  private pickCancelTarget(): number {
    return uniformInt(this.cancelRandom, 0, this.instances - 1);
  }

  /** Sends a request beside the steady load, among them some to routes that come and go. */
  private async sendOther(): Promise<void> {
    const pick = (bound: number): number => uniformInt(this.otherRandom, 0, bound - 1);
    const target = pick(this.instances);
    const prefix =
      pick(2) === 0 ? UNKNOWN_PREFIX : changingPrefixes[pick(changingPrefixes.length)]!;
    const kind = OTHER_KINDS[pick(OTHER_KINDS.length)]!;
    switch (kind) {
      case 'queue':
        await this.caller.askFor(target, 'GET', pick(2) === 0 ? '/q/' : prefix, TRY_MS);
        break;
      case 'state':
        await this.caller.askFor(target, 'GET', `/q/${formatId(1 + pick(this.sent))}`, TRY_MS);
        break;
      case 'cancel':
        await this.caller.cancelJob(target, formatId(UNKNOWN_ID + pick(UNKNOWN_ID)), CANCEL_ACK_MS);
        break;
      case 'job': {
        this.others += 1;
        const job = { id: formatId(OTHER_ID + this.others), cpuMilli: CPU_MILLI, ...SHAPES[0]! };
        this.book.addJob(job.id, job.taskCount);
        const settle = this.book.openTry(job.id);
        settle(await this.caller.sendJob(target, job, TRY_MS, prefix));
        break;
      }
      default:
        kind satisfies never;
    }
  }

  private async runTries(job: SoakJob, number: number): Promise<void> {
    const { id } = job;
    const deadlineMs = performance.now() + DEADLINE_MS;
    let target = this.pickBelow(this.instances);
    while (performance.now() < deadlineMs) {
      const settle = this.book.openTry(id);
      const leftMs = Math.max(1, Math.round(deadlineMs - performance.now()));
      const waitMs = Math.min(TRY_MS, leftMs);
      const outcome = await this.caller.sendJob(target, job, waitMs);
      settle(outcome);
      if (outcome === 'completed') {
        this.served.add(number);
      }
      if (outcome !== 'open') {
        return;
      }
      target = (target + 1) % this.instances;
      await pause(RESEND_MS);
    }
  }

  private pickBelow(bound: number): number {
    return uniformInt(this.random, 0, bound - 1);
  }
}
