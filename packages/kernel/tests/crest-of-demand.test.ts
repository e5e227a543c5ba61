import { buildWaveLoad } from './fixtures/build-wave-load';
import { runPoolSimulation } from './fixtures/pool-simulation';

/**
 * The least worth at each mean rate, from the comparison of orders on one pool in the project's
 * design position: by objective at 66, least work first at 120.
 */
const TARGETS = [
  { jobsPerSecond: 66, minCreditShare: 0.999 },
  { jobsPerSecond: 120, minCreditShare: 0.871 },
];
const BURST = { factor: 1.3, atMs: 10_000, forMs: 4_000 };

describe.each([1, 2])('waves with a burst over the capacity, seed %i', (seed) => {
  it.each(TARGETS)(
    'earns at least $worth at $jobsPerSecond jobs a second',
    ({ jobsPerSecond, minCreditShare }) => {
      const report = runPoolSimulation(buildWaveLoad(seed, jobsPerSecond, BURST));
      expect(report.creditShare).toBeGreaterThanOrEqual(minCreditShare);
    },
  );

  it('leaves no more than a twentieth of the jobs unserved and throws no work away', () => {
    const report = runPoolSimulation(buildWaveLoad(seed, 120, BURST));
    expect(report.servedShare).toBeGreaterThanOrEqual(0.95);
    expect(report.wastedShare).toBeLessThan(0.01);
  });
});
