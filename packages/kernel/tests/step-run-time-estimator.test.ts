import { StepRunTimeEstimator } from '../src/engine/step-run-time-estimator';

/** Builds an estimator that has recorded a run of 50 ms and longest runs of the given durations. */
function buildEstimator(longestMs: readonly number[]): StepRunTimeEstimator {
  const estimator = new StepRunTimeEstimator();
  estimator.recordRun('queue', 0, 50);
  longestMs.forEach((ms) => estimator.recordLongestRun('queue', 0, ms));
  return estimator;
}

describe('StepRunTimeEstimator: the longest run of a step', () => {
  it.each<[string, readonly number[], number]>([
    ['is the run time of a task until a longest run is recorded', [], 50],
    ['is the mean of equal longest runs', [90, 90, 90], 90],
    ['is never below the run time of a task', [20, 20], 50],
  ])('%s', (_name, longestMs, expected) => {
    expect(buildEstimator(longestMs).estimateLongestRunMs('queue', 0, 40)).toBeCloseTo(expected);
  });

  it('changes little after one outlier', () => {
    const longest = Array.from({ length: 10 }, (_unused, index) => (index === 4 ? 900 : 90));
    expect(buildEstimator(longest).estimateLongestRunMs('queue', 0, 40)).toBeLessThan(120);
  });

  it('is the declared run time for a step that never ran', () => {
    expect(new StepRunTimeEstimator().estimateLongestRunMs('queue', 1, 40)).toBe(40);
  });
});
