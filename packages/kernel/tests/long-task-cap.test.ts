import { RunTimeEstimator } from '@guavaspindle/kernel/policy/run-time-estimator';
import { LongTaskCap } from '@guavaspindle/kernel/queue/long-task-cap';
import { buildJob } from '@guavaspindle/kernel/submission/build-job';
import { buildSubmission } from './fixtures/build-submission';

const SLOTS = 40;
const SHORT_MS = 100;
const LONG_MS = 2_000;
const OBSERVED_MS = 60_000;

/** Builds a cap that has recorded steady arrivals that keep the given numbers of slots busy. */
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

describe('LongTaskCap', () => {
  it.each([
    ['no work has arrived', 0, 0, 28, 28],
    ['only long work arrives', 0, 40, 28, 28],
    ['little short work arrives', 4, 30, 28, 28],
    ['short and long work need half of the slots each', 20, 20, 17, 19],
    ['short work needs most slots', 30, 5, 10, 10],
    ['short work needs more than all slots', 80, 20, 10, 10],
  ])('adapts to the arriving work: %s', (_name, shortSlots, longSlots, least, most) => {
    const maxLong = buildLoadedCap(shortSlots, longSlots).computeMaxLongTasks(SLOTS, OBSERVED_MS);
    expect(maxLong).toBeGreaterThanOrEqual(least);
    expect(maxLong).toBeLessThanOrEqual(most);
  });

  it('allows more long tasks again when short work stops arriving', () => {
    const cap = buildLoadedCap(30, 30);
    const before = cap.computeMaxLongTasks(SLOTS, OBSERVED_MS);
    expect(cap.computeMaxLongTasks(SLOTS, OBSERVED_MS + 20_000)).toBeGreaterThan(before);
  });

  it('always allows one long task', () => {
    expect(buildLoadedCap(10, 1).computeMaxLongTasks(1, OBSERVED_MS)).toBe(1);
  });
});
