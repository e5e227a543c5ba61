import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import { buildJobSubmission } from './fixtures/build-job-submission';
import { buildPool } from './fixtures/build-pool';
import { buildServerReport } from './fixtures/build-server-report';
import { FakeServer } from './fixtures/fake-server';

const RUN_MS = 1_500;
const SERVER = '0' as ServerId;

/** Lists the servers on which the task runs now. */
function listRunning(servers: readonly FakeServer[]): readonly FakeServer[] {
  return servers.filter(({ running }) => running.size > 0);
}

// Guards against work that is started again elsewhere, or given up, since its server was only silent.
describe('the leader of a pool whose server falls silent', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it.each([100, 300, 600, 800])(
    'keeps a run whose server does not answer for %i ms, less than its lease',
    async (silenceMs) => {
      const servers = [new FakeServer()];
      servers[0]!.runBehavior = { durationMs: RUN_MS, how: 'done' };
      const { pool, entry } = buildPool(servers);
      await jest.advanceTimersByTimeAsync(20);
      const job = buildJobSubmission();
      pool.submitJob(job);
      await jest.advanceTimersByTimeAsync(300);
      // Another server is free, so nothing but the run itself keeps the task from starting again.
      servers.push(new FakeServer());
      pool.adoptServer(buildServerReport(1), 1);
      servers[0]!.isCutOff = true;
      await jest.advanceTimersByTimeAsync(silenceMs);
      servers[0]!.isCutOff = false;
      await jest.advanceTimersByTimeAsync(3_000);
      expect(servers.map(({ starts }) => starts.length)).toEqual([1, 0]);
      expect(servers[0]!.expired).toEqual([]);
      expect(entry.outcomes.get(job.spec.id)).toEqual({ kind: 'completed' });
      pool.close();
    },
  );

  it.each([1_200, 3_000, 12_000])(
    'never has two runs of a task while its server does not answer for %i ms',
    async (silenceMs) => {
      const servers = [new FakeServer(), new FakeServer()];
      const { pool, entry } = buildPool(servers);
      servers.forEach((server) => {
        server.runBehavior = { durationMs: RUN_MS, how: 'done' };
      });
      await jest.advanceTimersByTimeAsync(20);
      const job = buildJobSubmission();
      pool.submitJob(job);
      await jest.advanceTimersByTimeAsync(100);
      const [first] = listRunning(servers);
      first!.isCutOff = true;
      for (let passedMs = 0; passedMs < silenceMs; passedMs += 20) {
        // eslint-disable-next-line no-await-in-loop -- looks after each step of the clock
        await jest.advanceTimersByTimeAsync(20);
        expect(listRunning(servers).length).toBeLessThanOrEqual(1);
      }
      first!.isCutOff = false;
      await jest.advanceTimersByTimeAsync(4_000);
      expect(entry.outcomes.get(job.spec.id)).toEqual({ kind: 'completed' });
      pool.close();
    },
  );

  it.each([100, 1_000, 3_000, 12_000])(
    'keeps a run whose server has no entry in the store for %i ms',
    async (missingMs) => {
      const servers = [new FakeServer()];
      servers[0]!.runBehavior = { durationMs: 2 * RUN_MS, how: 'done' };
      const { pool, entry } = buildPool(servers);
      await jest.advanceTimersByTimeAsync(20);
      const job = buildJobSubmission();
      pool.submitJob(job);
      await jest.advanceTimersByTimeAsync(100);
      servers.push(new FakeServer());
      pool.adoptServer(buildServerReport(1), 1);
      pool.dropServer(SERVER);
      await jest.advanceTimersByTimeAsync(missingMs);
      pool.adoptServer(buildServerReport(0), 1);
      await jest.advanceTimersByTimeAsync(4_000);
      expect(servers.map(({ starts }) => starts.length)).toEqual([1, 0]);
      expect(entry.outcomes.get(job.spec.id)).toEqual({ kind: 'completed' });
      pool.close();
    },
  );
});
