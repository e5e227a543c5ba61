import { TakeoverSite } from './fixtures/takeover-site';

const ROUNDS = 4;
const ROUND_LIMIT_MS = 12_000;
const SEEDS = Array.from(
  { length: Number(process.env.TAKEOVER_SEEDS ?? 40) },
  (_unused, index) => index + 1,
);

describe('a leader that takes over while the entries of servers come and go', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a leader that does not know a server on which its predecessor has runs, and starts them again.
  it.each(SEEDS)('runs no task twice at the same time, seed %i', async (seed) => {
    const site = new TakeoverSite(seed);
    const ended = site.run(ROUNDS);
    await jest.advanceTimersByTimeAsync(ROUNDS * ROUND_LIMIT_MS);
    await ended;
    expect(site.doubleRuns).toEqual([]);
    expect(site.completedJobs).toBeGreaterThan(site.answeredJobs / 4);
  });
});
