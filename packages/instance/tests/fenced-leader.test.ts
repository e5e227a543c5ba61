import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import { buildJobSubmission } from './fixtures/build-job-submission';
import { buildPool } from './fixtures/build-pool';
import { buildServerReport } from './fixtures/build-server-report';
import { FakeServer } from './fixtures/fake-server';

const SEEDS = Array.from(
  { length: Number(process.env.FENCE_SEEDS ?? 40) },
  (_unused, index) => index + 1,
);
/** Two tasks of 27 cores fit on a server of 64. */
const MAX_RUNS = 2;

describe('a leader that has been replaced and does not know it', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a server that has started again, knows no token, and takes orders of two leaders.
  it('orders nothing from a server that has started again since it was fenced', async () => {
    const servers = [new FakeServer(), new FakeServer()];
    const { pool, countFenced } = buildPool(servers);
    await jest.advanceTimersByTimeAsync(20);
    servers.forEach((server) => server.observeToken(99));
    pool.submitJob(buildJobSubmission({ taskCount: 8 }));
    await jest.advanceTimersByTimeAsync(300);
    servers[1]!.restart(100);
    const { renewals } = servers[1]!;
    await jest.advanceTimersByTimeAsync(1_000);
    expect(servers.flatMap(({ starts }) => starts)).toEqual([]);
    expect(servers[1]!.renewals).toBe(renewals);
    expect(pool.fences.hasAllServers()).toBe(true);
    // What was under way at the first refusal: as many starts as a server holds, and a renewal.
    expect(countFenced()).toBeLessThanOrEqual((MAX_RUNS + 1) * servers.length);
    pool.adoptToken(100);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(servers.flatMap(({ starts }) => starts)).toHaveLength(8);
    pool.close();
  });

  // Guards against a failure domain that serves nobody because another one was led on its own while it was cut off.
  it('goes on in other failure domains as long as servers of one alone refuse it', async () => {
    const servers = [new FakeServer(), new FakeServer(), new FakeServer()];
    const { pool } = buildPool(servers, { listed: 0 });
    servers.forEach((_server, index) =>
      pool.adoptServer({ ...buildServerReport(index), domain: `domain-${index}` as DomainName }, 1),
    );
    await jest.advanceTimersByTimeAsync(20);
    servers[0]!.observeToken(99);
    pool.submitJob(buildJobSubmission({ number: 1, taskCount: 6 }));
    await jest.advanceTimersByTimeAsync(300);
    expect(servers.map(({ starts }) => starts.length)).toEqual([0, 3, 3]);
    servers[1]!.observeToken(99);
    pool.submitJob(buildJobSubmission({ number: 2, taskCount: 6 }));
    await jest.advanceTimersByTimeAsync(100);
    const started = servers[2]!.starts.length;
    pool.submitJob(buildJobSubmission({ number: 3, taskCount: 6 }));
    await jest.advanceTimersByTimeAsync(500);
    expect(servers[2]!.starts).toHaveLength(started);
    expect(pool.fences.hasAllServers()).toBe(true);
    pool.close();
  });

  // Guards against the orders of events in which a server starts again between the calls of two leaders.
  it.each(SEEDS)('never fills a server beside the new leader, seed %i', async (seed) => {
    const random = xoroshiro128plus(seed);
    const pick = (from: number, to: number): number => uniformInt(random, from, to);
    const servers = Array.from({ length: 4 }, () => new FakeServer());
    servers.forEach((server) => {
      Object.assign(server, { runBehavior: { durationMs: pick(50, 800), how: 'done' } });
    });
    const old = buildPool(servers, { token: 10 });
    let number = 1;
    const submit = (pool: typeof old.pool): void => {
      pool.submitJob(buildJobSubmission({ number, taskCount: pick(1, 6) }));
      number += 1;
    };
    submit(old.pool);
    await jest.advanceTimersByTimeAsync(pick(1, 400));
    const next = buildPool(servers, { token: 20 });
    submit(old.pool);
    // The old leader has been refused by at least one server before one starts again.
    while (old.countFenced() === 0) {
      submit(old.pool);
      // eslint-disable-next-line no-await-in-loop -- one step of the clock after the other
      await jest.advanceTimersByTimeAsync(5);
    }
    for (let step = 0; step < 60; step += 1) {
      submit(pick(0, 1) === 0 ? old.pool : next.pool);
      if (pick(0, 9) === 0) {
        servers[pick(0, servers.length - 1)]!.restart(pick(20, 300));
      }
      // eslint-disable-next-line no-await-in-loop -- one step of the clock after the other
      await jest.advanceTimersByTimeAsync(pick(1, 120));
    }
    servers.forEach(({ peakRuns }) => expect(peakRuns).toBeLessThanOrEqual(MAX_RUNS));
    old.pool.close();
    next.pool.close();
  });
});
