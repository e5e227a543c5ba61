import { buildJobSubmission } from './fixtures/build-job-submission';
import { buildPool } from './fixtures/build-pool';
import { buildServerReport } from './fixtures/build-server-report';
import { FakeServer } from './fixtures/fake-server';

const TASK_CPU_MILLI = 27_000;
const LONG_RUN_MS = 5_000;

describe('PoolLeader with a server whose capacity changes while it runs', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against starts that count on a capacity that the server no longer has.
  it.each<[string, number, number, number, number]>([
    ['starts one more beside a run after no change', 1, 64_000, 3, 2],
    ['starts nothing beside a run that fills the rest', 1, 50_000, 2, 1],
    ['starts nothing on a server that has shrunk below its runs', 2, 40_000, 2, 2],
    ['starts nothing on one that has shrunk to nothing', 1, 0, 2, 1],
    ['starts more on one that has grown', 2, 96_000, 3, 3],
  ])('%s', async (_name, jobsBefore, cpuMilli, jobsAfter, startsAfter) => {
    const server = new FakeServer();
    server.runBehavior = { durationMs: LONG_RUN_MS, how: 'done' };
    const { pool } = buildPool([server]);
    await jest.advanceTimersByTimeAsync(20);
    const submit = (number: number): void =>
      pool.submitJob(buildJobSubmission({ number, cpuMilli: TASK_CPU_MILLI }));
    for (let number = 1; number <= jobsBefore; number += 1) {
      submit(number);
    }
    await jest.advanceTimersByTimeAsync(50);
    const report = buildServerReport(0);
    pool.adoptServer({ ...report, capacity: { ...report.capacity, cpuMilli } }, 1);
    for (let number = jobsBefore + 1; number <= jobsAfter; number += 1) {
      submit(number);
    }
    await jest.advanceTimersByTimeAsync(500);
    expect(server.starts).toHaveLength(startsAfter);
    pool.close();
  });

  it('starts what waits once the capacity has grown again', async () => {
    const server = new FakeServer();
    const { pool, entry } = buildPool([server]);
    await jest.advanceTimersByTimeAsync(20);
    const report = buildServerReport(0);
    const first = buildJobSubmission({ number: 1 });
    pool.submitJob(first);
    await jest.advanceTimersByTimeAsync(10);
    pool.adoptServer({ ...report, capacity: { ...report.capacity, cpuMilli: 30_000 } }, 1);
    const second = buildJobSubmission({ number: 2, cpuMilli: 28_000 });
    pool.submitJob(second);
    await jest.advanceTimersByTimeAsync(30);
    expect(server.starts).toHaveLength(1);
    pool.adoptServer(report, 1);
    await jest.advanceTimersByTimeAsync(300);
    expect(entry.outcomes.get(second.spec.id)).toEqual({ kind: 'completed' });
    pool.close();
  });
});
