import type { LoadReport } from '@guavaspindle/load/load/load-report';
import { mergeReports } from '@guavaspindle/load/load/merge-reports';

/** Builds the report of a round. */
function buildReport(changes: Partial<LoadReport>): LoadReport {
  return {
    policy: 'fair,assigned',
    jobs: 10,
    complete: 9,
    notRun: 1,
    failed: 0,
    unknown: 0,
    startsPerSecond: 100,
    shortP50: 10,
    shortP99: 20,
    longP50: 30,
    longP99: 40,
    overIdeal: 1,
    overBound: 1,
    addedP50: 1,
    wastedPart: 0,
    crestGoodput: 1,
    dispatcherCpuPerThousand: 1,
    unknownDetails: [],
    goodputBySecond: [1, 2],
    ...changes,
  };
}

describe('mergeReports', () => {
  it('leaves one round as it is', () => {
    expect(mergeReports([buildReport({})])).toEqual(buildReport({}));
  });

  it('adds counts up and averages times, parts and seconds', () => {
    const second = buildReport({
      jobs: 20,
      shortP99: 40,
      wastedPart: 0.1,
      goodputBySecond: [3, 4],
    });
    const merged = mergeReports([buildReport({ unknownDetails: ['lost'] }), second]);
    expect(merged).toMatchObject({ jobs: 30, complete: 18, shortP99: 30, wastedPart: 0.05 });
    expect(merged.goodputBySecond).toEqual([2, 3]);
    expect(merged.unknownDetails).toEqual(['lost']);
  });
});
