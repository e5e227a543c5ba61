import type { CrashRecord } from '../src/engine/crash-record';
import type { EngineSubmission } from '../src/engine/engine-submission';
import type { JobEngine } from '../src/engine/job-engine';
import type { ServerId } from '../src/ids/server-id';
import type { TaskId } from '../src/ids/task-id';
import { buildEngine } from './fixtures/build-engine';
import { buildEngineSubmission } from './fixtures/build-engine-submission';

/** Three of them fit on a server. */
const TASK_CPU_MILLI = 20_000;

/** Builds a job with one task, under which this many servers have fallen silent. */
function buildSuspectJob(number: number, silences: number): EngineSubmission {
  const submission = buildEngineSubmission(number, { cpuMilli: TASK_CPU_MILLI });
  const crashes = Array.from({ length: silences }, (_unused, index): CrashRecord => ({
    task: `${submission.spec.id}.0.0.0` as TaskId,
    serverId: `gone-${index}` as ServerId,
    serverStartedAtMs: 1,
    isConfirmed: false,
  }));
  return { ...submission, crashes };
}

/** Submits jobs one after the other and counts the runs on each server, in descending order. */
function countRuns(engine: JobEngine, silencesByJob: readonly number[]): number[] {
  silencesByJob.forEach((silences, index) => {
    engine.submitJob(buildSuspectJob(index + 1, silences), 0);
    engine.schedule(0);
  });
  return [...engine.fleet.listServers()].map(({ runs }) => runs.size).sort((a, b) => b - a);
}

describe('JobEngine with tasks under which servers fell silent', () => {
  // Guards against tasks that are blamed twice because they run beside the one at fault again.
  it.each<[string, number, number[], number[]]>([
    ['packs tasks of which nothing is known', 3, [0, 0, 0], [3, 0, 0]],
    ['leaves such a task alone on its server', 3, [1, 0, 0], [2, 1, 0]],
    ['puts no such task beside others if a server is idle', 3, [0, 0, 1], [2, 1, 0]],
    ['puts it beside others if none is idle', 1, [0, 1], [2]],
    ['never puts two such tasks on one server', 1, [0, 1, 1], [2]],
    ['keeps one server in ten for them, and at least one', 3, [1, 1, 0, 0], [3, 1, 0]],
    ['starts none under which two servers fell silent', 3, [2, 0], [1, 0, 0]],
  ])('%s', (_name, servers, silencesByJob, runs) => {
    expect(countRuns(buildEngine(servers), silencesByJob)).toEqual(runs);
  });

  // Guards against a job that fails for crashes which no further start can follow.
  it.each<[string, boolean, string[]]>([
    ['fails a job of which a waiting task has crashed two servers', false, ['failed']],
    ['completes one whose task is done all the same', true, ['completed']],
  ])('%s', (_name, isDone, outcomes) => {
    const engine = buildEngine();
    const job = buildSuspectJob(1, 2);
    const crashes = job.crashes.map((record) => ({ ...record, isConfirmed: true }));
    const doneTasks = new Set(isDone ? crashes.map(({ task }) => task) : []);
    engine.submitJob({ ...job, crashes, doneTasks, isResumed: true }, 0);
    const ends = engine.takeEffects().filter((effect) => effect.kind === 'end-job');
    expect(ends.map(({ outcome }) => outcome.kind)).toEqual(outcomes);
  });

  it('fails no job for a done task while another one is open', () => {
    const engine = buildEngine();
    const { spec } = buildEngineSubmission(1, { taskCount: 2 });
    const { crashes } = buildSuspectJob(1, 2);
    const confirmed = crashes.map((record) => ({ ...record, isConfirmed: true }));
    const doneTasks = new Set(confirmed.map(({ task }) => task));
    engine.submitJob({ ...buildSuspectJob(1, 0), spec, crashes: confirmed, doneTasks }, 0);
    engine.schedule(0);
    expect(engine.takeEffects().map(({ kind }) => kind)).toEqual(['start-run']);
  });
});
