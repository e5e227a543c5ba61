import type { LoadReport } from './load-report';

/** One line of the report: its title and how its figure is printed. */
interface ReportLine {
  readonly title: string;
  readonly read: (report: LoadReport) => number;
  readonly digits: number;
}

const lines: readonly ReportLine[] = [
  { title: 'jobs sent', read: (report) => report.jobs, digits: 0 },
  { title: 'complete', read: (report) => report.complete, digits: 0 },
  { title: 'refused, not run', read: (report) => report.notRun, digits: 0 },
  { title: 'failed', read: (report) => report.failed, digits: 0 },
  { title: 'unknown', read: (report) => report.unknown, digits: 0 },
  { title: 'starts per second', read: (report) => report.startsPerSecond, digits: 0 },
  { title: 'short jobs p50, ms', read: (report) => report.shortP50, digits: 1 },
  { title: 'short jobs p99, ms', read: (report) => report.shortP99, digits: 1 },
  { title: 'long jobs p50, ms', read: (report) => report.longP50, digits: 1 },
  { title: 'long jobs p99, ms', read: (report) => report.longP99, digits: 1 },
  { title: 'mean time over ideal', read: (report) => report.overIdeal, digits: 2 },
  { title: 'mean time over slot bound', read: (report) => report.overBound, digits: 2 },
  { title: 'added to run time p50, ms', read: (report) => report.addedP50, digits: 2 },
  { title: 'wasted messages, part', read: (report) => report.wastedPart, digits: 4 },
  { title: 'goodput in the crest, part', read: (report) => report.crestGoodput, digits: 3 },
  {
    title: 'dispatcher cpu s per 1000 starts',
    read: (report) => report.dispatcherCpuPerThousand,
    digits: 3,
  },
];

const TITLE_WIDTH = 34;
const COLUMN_WIDTH = 16;

/** Formats reports side by side, with the ratio of the first to the second if there are two. */
export function formatReports(reports: readonly LoadReport[]): string {
  const hasRatio = reports.length === 2;
  const header = [
    ''.padEnd(TITLE_WIDTH),
    ...reports.map((report) => report.policy.padStart(COLUMN_WIDTH)),
    ...(hasRatio ? ['ratio'.padStart(COLUMN_WIDTH)] : []),
  ].join('');
  const rows = lines.map(({ title, read, digits }) => {
    const figures = reports.map(read);
    const cells = figures.map((figure) => figure.toFixed(digits).padStart(COLUMN_WIDTH));
    const [first, second] = figures as [number, number];
    const ratio = hasRatio && second !== 0 ? (first / second).toFixed(3) : '';
    return [title.padEnd(TITLE_WIDTH), ...cells, ratio.padStart(COLUMN_WIDTH)].join('').trimEnd();
  });
  const details = reports.flatMap((report) =>
    report.unknownDetails.map((detail) => `${report.policy}, unknown: ${detail}`),
  );
  return [header, ...rows, ...details].join('\n');
}
