/* eslint-disable no-await-in-loop -- one try after the other */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Agent, request } from 'undici';
import { pause } from '../pause';
import type { PromiseBook } from './promise-book';
import type { TryOutcome } from './try-outcome';

/** Kinds of job: tasks, run time in milliseconds. */
const SHAPES = [
  { tasks: 8, runMs: 50 },
  { tasks: 2, runMs: 170 },
  { tasks: 3, runMs: 700 },
];
const CPU_MILLI = 27_000;
/** A job without an answer is sent again after so long, as the platform's clients do. */
const RESEND_MS = 1_300;
const DEADLINE_MS = 5_000;
const HTTP_OK = 200;
const REFUSALS: readonly number[] = [429, 503];

/** Callers that send jobs at a steady mean rate, and again after a broken answer. */
export class SoakCallers {
  private readonly random;

  private readonly agent = new Agent({ connections: 64 });

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
    while (performance.now() < endMs) {
      const sending = this.sendJob();
      this.open.add(sending);
      void sending.finally(() => this.open.delete(sending));
      const meanGapMs = 1_000 / jobsPerSecond;
      await pause(this.pickBelow(Math.round(2 * meanGapMs) + 1));
    }
  }

  /** Resolves when all jobs are answered or given up. */
  async close(): Promise<void> {
    await Promise.all(this.open);
    await this.agent.destroy();
  }

  private async sendJob(): Promise<void> {
    this.sent += 1;
    const number = this.sent;
    const id = number.toString(16).padStart(16, '0');
    const { tasks, runMs } = SHAPES[this.pickBelow(SHAPES.length)]!;
    this.book.addJob(id, tasks);
    const body = JSON.stringify({
      specification: `run=${runMs}`,
      bestEffort: true,
      steps: [{ count: tasks, cpu: CPU_MILLI, memMb: 64, estimatedMs: runMs }],
    });
    const deadlineMs = performance.now() + DEADLINE_MS;
    let first = this.pickBelow(this.addresses.length);
    while (performance.now() < deadlineMs) {
      const outcome = await this.sendTry(id, this.addresses[first]!, body, deadlineMs);
      if (outcome === 'completed') {
        this.served.add(number);
      }
      if (outcome !== 'open') {
        return;
      }
      first = (first + 1) % this.addresses.length;
      await pause(RESEND_MS);
    }
  }

  /** Sends a job once; `open` if no final answer came. */
  private async sendTry(
    id: string,
    address: string,
    body: string,
    deadlineMs: number,
  ): Promise<TryOutcome> {
    const settle = this.book.openTry(id);
    const leftMs = Math.max(1, Math.round(deadlineMs - performance.now()));
    try {
      const answer = await request(`http://${address}/q/${id}`, {
        method: 'POST',
        dispatcher: this.agent,
        signal: AbortSignal.timeout(leftMs),
        headers: {
          host: 'jobs.example',
          'content-type': 'application/json',
          'x-guavaspindle-deadline-ms': String(leftMs),
        },
        body,
      });
      const text = await answer.body.text();
      if (REFUSALS.includes(answer.statusCode)) {
        settle('refused');
        return 'refused';
      }
      if (answer.statusCode !== HTTP_OK) {
        return 'open';
      }
      const { state } = JSON.parse(text) as { readonly state: string };
      const outcome = state === 'completed' ? 'completed' : 'failed';
      settle(outcome);
      return outcome;
    } catch {
      // A broken connection is one of the faults; the job is sent again.
      return 'open';
    }
  }

  private pickBelow(bound: number): number {
    return uniformInt(this.random, 0, bound - 1);
  }
}
