import type { JobEngine } from '../src/engine/job-engine';
import type { EngineEffect } from '../src/engine/engine-effect';
import type { EngineSubmission } from '../src/engine/engine-submission';
import type { ServerId } from '../src/ids/server-id';
import { buildEngine } from './fixtures/build-engine';
import { buildEngineSubmission } from './fixtures/build-engine-submission';

const SERVER = 'server-1' as ServerId;

/** Submits jobs at the same time and returns the effects of the first scheduling pass. */
function submitAll(
  engine: JobEngine,
  jobs: readonly EngineSubmission[],
  nowMs: number,
): EngineEffect[] {
  jobs.forEach((job) => engine.submitJob(job, nowMs));
  engine.schedule(nowMs);
  return engine.takeEffects();
}

/** Lists the job outcomes among the effects. */
function listOutcomes(effects: readonly EngineEffect[]) {
  return effects.flatMap((effect) => (effect.kind === 'end-job' ? [effect.outcome] : []));
}

describe('JobEngine with a partly run job that cannot end in useful time', () => {
  const TOO_LATE_MS = 700;

  /**
   * Submits a job of three tasks and completes two of them, while the server is unconfirmed so that
   * the third cannot start before the job is too late.
   */
  function buildPartlyRunJob(): { readonly engine: JobEngine; readonly job: EngineSubmission } {
    const engine = buildEngine();
    const job = buildEngineSubmission(1, { taskCount: 3 });
    submitAll(engine, [job], 0);
    const [first, second] = [0, 1].map((index) => `${job.spec.id}.0.0.${index}`);
    const runs = [...engine.fleet.findServer(SERVER)!.runs.values()];
    expect(runs.map(({ task }) => task)).toEqual([first, second]);
    engine.fleet.findServer(SERVER)!.state = 'unconfirmed';
    runs.forEach(({ task, run }) => engine.endRun(SERVER, task, run, 'done', 100));
    engine.schedule(TOO_LATE_MS);
    return { engine, job };
  }

  it('ends the job as abandoned in the first scheduling pass after it is too late', () => {
    const { engine } = buildPartlyRunJob();
    expect(listOutcomes(engine.takeEffects())).toEqual([
      { kind: 'abandoned', reason: 'no room in time' },
    ]);
    expect(engine.openJobs).toBe(0);
  });

  it('repeats the outcome and starts no task when the caller submits the job again', () => {
    const { engine, job } = buildPartlyRunJob();
    engine.takeEffects();
    engine.fleet.findServer(SERVER)!.state = 'usable';
    const effects = submitAll(engine, [job], TOO_LATE_MS + 1_300);
    expect(effects).toEqual([
      expect.objectContaining({
        kind: 'end-job',
        outcome: { kind: 'abandoned', reason: 'no room in time' },
      }),
    ]);
  });
});
