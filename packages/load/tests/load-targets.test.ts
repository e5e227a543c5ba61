import type { LoadOptions } from '@guavaspindle/load/load/load-options';
import type { LoadReport } from '@guavaspindle/load/load/load-report';
import { VirtualLoad } from './fixtures/virtual-load';

const OURS = 'fair,assigned';
const BASELINE = 'fifo,random';

/** Builds the load tool's default mix: every twentieth job has tasks twenty times longer. */
function buildOptions(changes: Partial<LoadOptions>): LoadOptions {
  return {
    seed: 1,
    seconds: 40,
    utilisation: 0.85,
    tasksPerJob: 5,
    shortMs: 100,
    longPart: 0.05,
    longFactor: 20,
    crest: 1,
    crestSeconds: 0,
    deadlineMs: 10_000,
    ...changes,
  };
}

describe.each([1, 2, 3])('the targets for service under load, seed %i', (seed) => {
  describe('at 85% load', () => {
    let ours: LoadReport;
    let baseline: LoadReport;

    beforeAll(() => {
      ours = VirtualLoad.run(OURS, buildOptions({ seed }));
      baseline = VirtualLoad.run(BASELINE, buildOptions({ seed }));
    });

    it('p99 of short jobs behind long ones is at most a fifth of the baseline', () => {
      expect(ours.shortP99 / baseline.shortP99).toBeLessThanOrEqual(0.2);
    });

    it('at most 1% of the jobs end without an answer', () => {
      expect(ours.complete / ours.jobs).toBeGreaterThanOrEqual(0.99);
    });

    it('at most 2% of the starts are refused by backend servers', () => {
      expect(ours.wastedPart).toBeLessThanOrEqual(0.02);
    });
  });

  it('at 70% load the mean time over the lower bound is at most 1.3', () => {
    const ours = VirtualLoad.run(OURS, buildOptions({ seed, seconds: 20, utilisation: 0.7 }));
    expect(ours.overBound).toBeLessThanOrEqual(1.3);
    expect(ours.wastedPart).toBeLessThanOrEqual(0.02);
  });

  it('in a crest of four times the load at least 95% of the capacity is answered in time', () => {
    const options = { seed, seconds: 20, utilisation: 0.7, crest: 4, crestSeconds: 10 };
    const ours = VirtualLoad.run(OURS, buildOptions(options));
    expect(ours.crestGoodput).toBeGreaterThanOrEqual(0.95);
  });
});
