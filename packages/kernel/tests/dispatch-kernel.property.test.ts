import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { KernelEffect } from '@guavaspindle/kernel/dispatch/kernel-effect';
import type { AttemptId } from '@guavaspindle/kernel/ids/attempt-id';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import { NotRun } from '@guavaspindle/kernel/outcome/not-run';
import * as fc from 'fast-check';
import { buildKernel } from './fixtures/build-kernel';
import { buildRow } from './fixtures/build-row';
import { buildServer } from './fixtures/build-server';
import { buildSubmission } from './fixtures/build-submission';

const SEED = 20_261_204;
const SCHEDULES = 5_000;
const JOBS = 4;
const MAX_RUNNING = 3;

/** One step of a fault schedule. */
type Step =
  | { readonly type: 'submit'; readonly job: number; readonly tasks: number }
  | { readonly type: 'end'; readonly pick: number; readonly outcome: AttemptOutcome['type'] }
  | { readonly type: 'end-again'; readonly pick: number }
  | { readonly type: 'advance'; readonly ms: number }
  | { readonly type: 'cancel'; readonly job: number }
  | { readonly type: 'servers'; readonly count: number; readonly leaving: boolean }
  | { readonly type: 'drain' };

type StartEffect = Extract<KernelEffect, { type: 'start' }>;

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      job: fc.nat(JOBS - 1),
      tasks: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('end' as const),
      pick: fc.nat(20),
      outcome: fc.constantFrom('answered', 'answered', 'not-run', 'not-run', 'failed', 'unknown'),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('end-again' as const), pick: fc.nat(20) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      ms: fc.constantFrom(1, 10, 50, 500, 3_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('cancel' as const), job: fc.nat(JOBS - 1) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('servers' as const),
      count: fc.nat(3),
      leaving: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ type: 'drain' as const }) },
);

/** Builds an outcome of the given type for an attempt. */
function buildOutcome(type: AttemptOutcome['type'], attempt: AttemptId): AttemptOutcome {
  switch (type) {
    case 'answered':
      return { type, answerJson: `"${attempt}"` };
    case 'failed':
      return { type, detail: 'failed' };
    case 'unknown':
      return { type, detail: 'lost' };
    case 'not-run':
      return NotRun.proveNeverSent('refused');
    default:
      return type satisfies never;
  }
}

/** Runs a schedule against one kernel and checks every effect against its own record of starts. */
class ScheduleRunner {
  private nowMs = 1_000;

  private readonly openStarts: StartEffect[] = [];

  private readonly endedAttempts: AttemptId[] = [];

  /** Attempts that may have run, by task id. */
  private readonly mayHaveRun = new Map<string, AttemptId[]>();

  private readonly idempotentJobs = new Set<string>();

  private readonly endedJobs = new Set<string>();

  constructor(private readonly kernel: DispatchKernel) {
    kernel.adoptTable({ revision: 1, rows: [buildRow({ maxRunning: MAX_RUNNING })] }, this.nowMs);
    kernel.adoptServers([buildServer(1), buildServer(2)], this.nowMs);
  }

  /** Runs one step and checks the resulting effects. */
  runStep(step: Step): void {
    switch (step.type) {
      case 'submit':
        this.submitJob(step.job, step.tasks);
        break;
      case 'end':
        this.endAttempt(step.pick, step.outcome);
        break;
      case 'end-again':
        this.endAgain(step.pick);
        break;
      case 'advance':
        this.nowMs += step.ms;
        this.kernel.advanceTime(this.nowMs);
        break;
      case 'cancel':
        this.cancelJob(step.job);
        break;
      case 'servers': {
        const servers = Array.from({ length: step.count }, (_unused, index) =>
          buildServer(index, { leaving: step.leaving }),
        );
        this.kernel.adoptServers(servers, this.nowMs);
        break;
      }
      case 'drain':
        this.kernel.beginDrain();
        break;
      default:
        step satisfies never;
    }
    this.checkEffects();
  }

  private submitJob(job: number, tasks: number): void {
    const idempotent = job === JOBS - 1;
    const name = `job-${job}`;
    if (idempotent) {
      this.idempotentJobs.add(name);
    }
    const submission = buildSubmission(name, idempotent ? 1 : tasks, { idempotent });
    const decision = this.kernel.submitJob(submission, job, this.nowMs);
    if (decision.type === 'refused' && decision.problem.outcome === 'not-run') {
      const isMismatch = decision.problem.code === 'body-mismatch';
      expect(isMismatch || !this.hasStarted(name)).toBe(true);
    }
  }

  private endAttempt(pick: number, type: AttemptOutcome['type']): void {
    const start = this.openStarts[pick % Math.max(1, this.openStarts.length)];
    if (start === undefined) {
      return;
    }
    this.openStarts.splice(this.openStarts.indexOf(start), 1);
    this.endedAttempts.push(start.attempt);
    if (type === 'not-run') {
      const others = this.mayHaveRun.get(start.task.id)!;
      others.splice(others.indexOf(start.attempt), 1);
    }
    this.kernel.endAttempt(start.attempt, buildOutcome(type, start.attempt), this.nowMs);
  }

  private endAgain(pick: number): void {
    const attempt = this.endedAttempts[pick % Math.max(1, this.endedAttempts.length)];
    if (attempt !== undefined) {
      this.kernel.endAttempt(attempt, buildOutcome('not-run', attempt), this.nowMs);
    }
  }

  private cancelJob(job: number): void {
    const found = this.kernel.findJob(`job-${job}` as Parameters<DispatchKernel['findJob']>[0]);
    if (found !== undefined) {
      this.kernel.cancelJob(found, this.nowMs);
    }
  }

  private checkEffects(): void {
    this.kernel.takeEffects().forEach((effect) => {
      if (effect.type === 'start') {
        this.checkStart(effect);
      } else if (effect.type === 'job-ended') {
        this.checkEnd(effect);
      }
    });
    expect(this.openStarts.length).toBeLessThanOrEqual(MAX_RUNNING);
  }

  private checkStart(start: StartEffect): void {
    const before = this.mayHaveRun.get(start.task.id) ?? [];
    const isIdempotent = this.idempotentJobs.has(start.job.id);
    expect(isIdempotent ? 0 : before.length).toBe(0);
    expect(this.endedJobs.has(start.job.id)).toBe(false);
    expect(start.server.leaving).toBe(false);
    this.mayHaveRun.set(start.task.id, [...before, start.attempt]);
    this.openStarts.push(start);
    const onServer = this.openStarts.filter((other) => other.server.id === start.server.id);
    expect(onServer.length).toBeLessThanOrEqual(start.server.slots);
  }

  private checkEnd({ job }: Extract<KernelEffect, { type: 'job-ended' }>): void {
    expect(this.endedJobs.has(job.id)).toBe(false);
    this.endedJobs.add(job.id);
    const { result } = job;
    if (result?.type === 'complete') {
      result.answersJson.forEach((answer, index) => {
        expect(answer.startsWith(`"${job.id}/${index}/`)).toBe(true);
      });
    } else if (result?.problem.outcome === 'not-run') {
      expect(this.hasStarted(job.id)).toBe(false);
    }
  }

  private hasStarted(job: string): boolean {
    return [...this.mayHaveRun].some(
      ([task, attempts]) => task.startsWith(`${job}/`) && attempts.length > 0,
    );
  }
}

describe('DispatchKernel under generated fault schedules', () => {
  it(`starts no task twice, and none of a job refused or ended as "not run" (${SCHEDULES} schedules)`, () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const runner = new ScheduleRunner(buildKernel({ answerRetentionMs: 2_000 }));
        steps.forEach((step) => runner.runStep(step));
      }),
      { seed: SEED, numRuns: SCHEDULES },
    );
  });
});
