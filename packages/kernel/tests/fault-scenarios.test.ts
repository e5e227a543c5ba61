import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import { buildKernel } from './fixtures/build-kernel';
import { buildRow } from './fixtures/build-row';
import { buildServer } from './fixtures/build-server';
import { buildSubmission } from './fixtures/build-submission';

const SERVERS = Array.from({ length: 4 }, (_unused, index) => buildServer(index, { slots: 8 }));
const RUN_MS = 20;
const STEP_MS = 5;

type StartEffect = Extract<KernelEffect, { type: 'start' }>;

/** Builds a kernel with a table without effective limits and four servers of eight slots. */
function buildReadyKernel(): DispatchKernel {
  const kernel = buildKernel();
  kernel.adoptTable({ revision: 1, rows: [buildRow({ deadlineMs: 600_000 })] }, 0);
  kernel.adoptServers(SERVERS, 0);
  return kernel;
}

/** Takes the queued effects and returns the starts among them. */
function takeStarts(kernel: DispatchKernel): StartEffect[] {
  return kernel.takeEffects().filter((effect) => effect.type === 'start');
}

/** A start and the time at which its outcome is known. */
interface OpenStart {
  readonly start: StartEffect;
  readonly endsAtMs: number;
}

/** Removes and returns the starts whose outcome is known at the given time. */
function takeDue(open: OpenStart[], nowMs: number): OpenStart[] {
  const due = open.filter(({ endsAtMs }) => endsAtMs <= nowMs);
  open.splice(0, open.length, ...open.filter(({ endsAtMs }) => endsAtMs > nowMs));
  return due;
}

describe('a server that fails every task immediately', () => {
  it('gets at most one trial start per second after the first, and is used again after recovery', () => {
    const kernel = buildReadyKernel();
    const failingServerId = SERVERS[0]!.id;
    const startsBySecond: number[] = [];
    const open: OpenStart[] = [];
    let number = 0;
    for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
      const second = Math.floor(nowMs / 1_000);
      const hasRecovered = second >= 10;
      takeDue(open, nowMs).forEach(({ start }) => {
        const failed = start.server.id === failingServerId && !hasRecovered;
        const outcome = failed
          ? ({ type: 'failed', detail: 'broken' } as const)
          : ({ type: 'answered', answerJson: '1' } as const);
        kernel.endAttempt(start.attempt, outcome, nowMs);
      });
      if (nowMs % 20 === 0) {
        kernel.submitJob(buildSubmission(`job-${number}`, 4), number, nowMs);
        number += 1;
        kernel.advanceTime(nowMs);
      }
      takeStarts(kernel).forEach((start) => {
        // The server fails tasks immediately, so it always appears to have free slots.
        const endsAtMs =
          nowMs + (start.server.id === failingServerId && !hasRecovered ? 0 : RUN_MS);
        open.push({ start, endsAtMs });
        const isFailingServer = start.server.id === failingServerId;
        startsBySecond[second] = (startsBySecond[second] ?? 0) + (isFailingServer ? 1 : 0);
      });
    }
    const startsWhileFailing = startsBySecond.slice(1, 10);
    expect(Math.max(...startsWhileFailing)).toBeLessThanOrEqual(1);
    expect(startsBySecond[19]).toBeGreaterThan(20);
  });
});

describe('a burst of 10,000 cancellations', () => {
  it('does not delay the start of a later short job', () => {
    const count = 10_000;
    const kernel = buildReadyKernel();
    const ids: JobId[] = [];
    for (let number = 0; number < count; number += 1) {
      const submission = buildSubmission(`job-${number}`, 1);
      kernel.submitJob(submission, number, 0);
      ids.push(submission.jobId);
    }
    kernel.advanceTime(5);
    const running = takeStarts(kernel);
    expect(running).toHaveLength(32);
    const started = ids.map((id) => kernel.cancelJob(kernel.findJob(id)!, 6));
    expect(started.reduce((sum, each) => sum + each, 0)).toBe(32);
    // Cancelled jobs do not start, even when slots become free.
    const answer = { type: 'answered', answerJson: '1' } as const;
    running.forEach(({ attempt }) => kernel.endAttempt(attempt, answer, 10));
    kernel.advanceTime(20);
    expect(takeStarts(kernel)).toEqual([]);
    kernel.submitJob(buildSubmission('short', 1), count, 21);
    expect(takeStarts(kernel).map(({ job }) => job.id)).toEqual(['short']);
  });

  it('sends stops to the servers at a limited rate', () => {
    const kernel = buildReadyKernel();
    kernel.adoptServers([buildServer(1, { slots: 10_000 })], 0);
    const submission = buildSubmission('job', 1_000);
    kernel.submitJob(submission, 0, 0);
    kernel.advanceTime(5);
    expect(takeStarts(kernel)).toHaveLength(1_000);
    kernel.cancelJob(kernel.findJob(submission.jobId)!, 6);
    let mostInTick = 0;
    let stops = 0;
    for (let nowMs = 20; nowMs <= 1_000; nowMs += 20) {
      kernel.takeEffects();
      kernel.advanceTime(nowMs);
      const sent = kernel.takeEffects().filter(({ type }) => type === 'stop').length;
      mostInTick = Math.max(mostInTick, sent);
      stops += sent;
    }
    expect(stops).toBeGreaterThan(0);
    // At most a quarter of the stops are sent in the first second, and no burst in one tick.
    expect(stops).toBeLessThanOrEqual(250);
    expect(mostInTick).toBeLessThanOrEqual(25);
  });
});

describe('a server that is listed as leaving', () => {
  it('gets no start after the list is adopted', () => {
    const kernel = buildReadyKernel();
    kernel.submitJob(buildSubmission('first', 32), 0, 0);
    kernel.advanceTime(5);
    const running = takeStarts(kernel);
    expect(running).toHaveLength(32);
    const leaving = SERVERS[2]!;
    const listed = SERVERS.map((server) => ({ ...server, leaving: server === leaving }));
    kernel.adoptServers(listed, 6);
    kernel.submitJob(buildSubmission('second', 64), 1, 7);
    const later: StartEffect[] = [];
    for (let open = running; open.length > 0;) {
      const answer = { type: 'answered', answerJson: '1' } as const;
      open.forEach(({ attempt }) => kernel.endAttempt(attempt, answer, 8));
      open = takeStarts(kernel);
      later.push(...open);
    }
    expect(later).toHaveLength(64);
    expect(later.filter(({ server }) => server.id === leaving.id)).toEqual([]);
  });
});
