import { StepRunTimeEstimator } from '../src/engine/step-run-time-estimator';

/** Builds a book that knows run times of 50 ms and longest runs of the given lengths. */
function buildEstimator(longestMs: readonly number[]): StepRunTimeEstimator {
  const estimator = new StepRunTimeEstimator();
  estimator.recordRun('queue', 0, 50);
  longestMs.forEach((ms) => estimator.recordLongestRun('queue', 0, ms));
  return estimator;
}

describe('the expected longest run of a step', () => {
  it.each<[string, readonly number[], number]>([
    ['is the run time of a task while nothing else is known', [], 50],
    ['is what the longest runs have been', [90, 90, 90], 90],
    ['is never below the run time of a task', [20, 20], 50],
  ])('%s', (_name, longestMs, expected) => {
    expect(buildEstimator(longestMs).estimateLongestRunMs('queue', 0, 40)).toBeCloseTo(expected);
  });

  it('moves little with a few very long runs', () => {
    const longest = Array.from({ length: 10 }, (_unused, index) => (index === 4 ? 900 : 90));
    expect(buildEstimator(longest).estimateLongestRunMs('queue', 0, 40)).toBeLessThan(120);
  });

  it('falls back on what the caller declares for a step that never ran', () => {
    expect(new StepRunTimeEstimator().estimateLongestRunMs('queue', 1, 40)).toBe(40);
  });
});
