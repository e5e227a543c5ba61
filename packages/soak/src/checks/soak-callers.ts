/* eslint-disable no-await-in-loop -- one try after the other */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CallerStandIn } from '@guavaspindle/platform-adapter/stand-ins/caller-stand-in';
import { pause } from '../pause';
import type { PromiseBook } from './promise-book';

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

/** Callers that send jobs at a steady mean rate, and again after a broken answer. */
export class SoakCallers {
  private readonly random;

  private readonly caller = new CallerStandIn();

  private readonly open = new Set<Promise<void>>();

  private sent = 0;

  /** Numbers of the jobs that were answered as completed. */
  private readonly served = new Set<number>();

  constructor(
    seed: number,
    private readonly addresses: readonly string[],
    private readonly book: PromiseBook,
  ) {
    this.random = xoroshiro128plus(seed + 1);
  }

  /** Jobs sent so far. */
  get sentCount(): number {
    return this.sent;
  }

  /** Jobs that were served, of those sent after the first so many. */
  countServed(after = 0): number {
    return [...this.served].filter((number) => number > after).length;
  }

  /** Sends jobs for so long, and does not wait for the last answers. */
  async sendJobs(jobsPerSecond: number, forMs: number): Promise<void> {
    const endMs = performance.now() + forMs;
    const meanGapMs = 1_000 / jobsPerSecond;
    while (performance.now() < endMs) {
      const sending = this.sendJob();
      this.open.add(sending);
      void sending.finally(() => this.open.delete(sending));
      await pause(this.pickBelow(Math.round(2 * meanGapMs) + 1));
    }
  }

  /** Resolves when all jobs are answered or given up. */
  async close(): Promise<void> {
    await Promise.all(this.open);
    await this.caller.close();
  }

  private async sendJob(): Promise<void> {
    this.sent += 1;
    const number = this.sent;
    const id = number.toString(16).padStart(16, '0');
    const job = { id, cpuMilli: CPU_MILLI, ...SHAPES[this.pickBelow(SHAPES.length)]! };
    this.book.addJob(id, job.taskCount);
    const deadlineMs = performance.now() + DEADLINE_MS;
    let target = this.pickBelow(this.addresses.length);
    while (performance.now() < deadlineMs) {
      const settle = this.book.openTry(id);
      const leftMs = Math.max(1, Math.round(deadlineMs - performance.now()));
      const waitMs = Math.min(TRY_MS, leftMs);
      const outcome = await this.caller.sendJob(this.addresses[target]!, job, waitMs);
      settle(outcome);
      if (outcome === 'completed') {
        this.served.add(number);
      }
      if (outcome !== 'open') {
        return;
      }
      target = (target + 1) % this.addresses.length;
      await pause(RESEND_MS);
    }
  }

  private pickBelow(bound: number): number {
    return uniformInt(this.random, 0, bound - 1);
  }
}
