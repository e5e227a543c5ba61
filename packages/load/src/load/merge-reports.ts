import { computeMean } from './compute-mean';
import type { LoadReport } from './load-report';

/** Figures that add up over rounds; the others are averaged. */
const SUMMED: ReadonlySet<keyof LoadReport> = new Set([
  'jobs',
  'complete',
  'notRun',
  'failed',
  'unknown',
]);

/** Merges the reports of one policy's rounds: counts add up, times and parts are averaged. */
export function mergeReports(reports: readonly [LoadReport, ...LoadReport[]]): LoadReport {
  const [first] = reports;
  const figures = Object.entries(first).flatMap(([name, value]) => {
    if (typeof value !== 'number') {
      return [];
    }
    const key = name as keyof LoadReport;
    const mean = computeMean(reports.map((report) => report[key] as number));
    return [[name, SUMMED.has(key) ? mean * reports.length : mean]];
  });
  return {
    ...first,
    ...(Object.fromEntries(figures) as Partial<LoadReport>),
    unknownDetails: [...new Set(reports.flatMap((report) => report.unknownDetails))],
    goodputBySecond: first.goodputBySecond.map((_count, second) =>
      computeMean(reports.map((report) => report.goodputBySecond[second] ?? 0)),
    ),
  };
}
