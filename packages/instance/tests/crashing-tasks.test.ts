import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import { buildJobSubmission } from './fixtures/build-job-submission';
import { buildPool } from './fixtures/build-pool';
import { FakeServer } from './fixtures/fake-server';

/** Crashes after which a task may be started at most twice more. */
const MAX_CRASHES = 3;
const JOB = buildJobSubmission();
const TASK = `${JOB.spec.id}.0.0.0` as TaskId;

/** Builds servers that crash whenever they start one of the tasks. */
function buildServers(count: number, ...crashingTasks: TaskId[]): FakeServer[] {
  return Array.from({ length: count }, () => {
    const server = new FakeServer();
    crashingTasks.forEach((task) => server.crashingTasks.add(task));
    return server;
  });
}

/** Counts the crashes of all servers. */
function countCrashes(servers: readonly FakeServer[]): number {
  return servers.reduce((sum, { crashes }) => sum + crashes, 0);
}

describe('PoolLeader with tasks that crash servers', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a task that crashes one server after the other for as long as its job lives.
  it('gives up a task under which servers have crashed and reports its job as failed', async () => {
    const servers = buildServers(8, TASK);
    const { pool, entry } = buildPool(servers);
    await jest.advanceTimersByTimeAsync(20);
    pool.submitJob(JOB);
    await jest.advanceTimersByTimeAsync(14_000);
    expect(countCrashes(servers)).toBeLessThanOrEqual(MAX_CRASHES);
    expect(entry.outcomes.get(JOB.spec.id)).toMatchObject({ kind: 'failed' });
    pool.close();
  });
});
