import { RunTimeEstimator } from '@guavaspindle/kernel/policy/run-time-estimator';
import { LongTaskCap } from '@guavaspindle/kernel/queue/long-task-cap';
import { buildJob } from '@guavaspindle/kernel/submission/build-job';
import { buildSubmission } from './fixtures/build-submission';

const SLOTS = 40;
const SHORT_MS = 100;
const LONG_MS = 2_000;
const OBSERVED_MS = 60_000;

/** Feeds a cap with steady arrivals that keep the given numbers of slots busy. */
function buildLoadedCap(shortSlots: number, longSlots: number): LongTaskCap {
  const cap = new LongTaskCap();
  const estimator = new RunTimeEstimator();
  const listArrivals = (slots: number, runMs: number) =>
    Array.from({ length: Math.floor((OBSERVED_MS * slots) / runMs) }, (_unused, index) => ({
      atMs: (index * runMs) / slots,
      runMs,
    }));
  [...listArrivals(shortSlots, SHORT_MS), ...listArrivals(longSlots, LONG_MS)]
    .sort((left, right) => left.atMs - right.atMs)
    .forEach(({ atMs, runMs }) => {
      const tasks = [{ payloadJson: '1', expectedMs: runMs }];
      cap.recordJob(buildJob(buildSubmission('job', 0, { tasks }), estimator, atMs, 10_000));
    });
  return cap;
}

describe('the cap on long work', () => {
  it.each([
    ['no work has come yet', 0, 0, 28, 28],
    ['only long work comes', 0, 40, 28, 28],
    ['little short work comes', 4, 30, 28, 28],
    ['both need half', 20, 20, 17, 19],
    ['short work needs most', 30, 5, 10, 10],
    ['short work needs more than all', 80, 20, 10, 10],
  ])('follows what arrives: %s', (_name, shortSlots, longSlots, least, most) => {
    const maxLong = buildLoadedCap(shortSlots, longSlots).computeMaxLongTasks(SLOTS, OBSERVED_MS);
    expect(maxLong).toBeGreaterThanOrEqual(least);
    expect(maxLong).toBeLessThanOrEqual(most);
  });

  it('lets long work have more again when short work stops coming', () => {
    const cap = buildLoadedCap(30, 30);
    const before = cap.computeMaxLongTasks(SLOTS, OBSERVED_MS);
    expect(cap.computeMaxLongTasks(SLOTS, OBSERVED_MS + 20_000)).toBeGreaterThan(before);
  });

  it('always leaves one slot to long work', () => {
    expect(buildLoadedCap(10, 1).computeMaxLongTasks(1, OBSERVED_MS)).toBe(1);
  });
});
