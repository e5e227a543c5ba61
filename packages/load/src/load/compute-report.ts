import { build } from 'hdr-histogram-js';
import { computeMean } from './compute-mean';
import type { JobRecord } from './job-record';
import type { LoadOptions } from './load-options';
import type { LoadReport } from './load-report';

const MS_PER_SECOND = 1_000;
/** Histograms count microseconds, so that added times below a millisecond are told apart. */
const US_PER_MS = 1_000;

/** What a run is measured against. */
interface ReportContext {
  readonly policy: string;
  readonly options: LoadOptions;
  readonly slots: number;
  readonly starts: number;
  readonly refusals: number;
  readonly dispatcherCpuSeconds: number;
}

/** Computes a percentile in milliseconds; 0 for no values. */
function computePercentile(valuesMs: readonly number[], percentile: number): number {
  if (valuesMs.length === 0) {
    return 0;
  }
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  valuesMs.forEach((value) => histogram.recordValue(Math.max(0, Math.round(value * US_PER_MS))));
  return histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

/** Computes the part of the slots' work in the crest that was answered within the deadline. */
function computeCrestGoodput(records: readonly JobRecord[], context: ReportContext): number {
  const { options, slots } = context;
  const middleMs = (options.seconds * MS_PER_SECOND) / 2;
  const halfMs = (options.crestSeconds * MS_PER_SECOND) / 2;
  if (halfMs === 0) {
    return 0;
  }
  const answered = records.filter(
    ({ outcome, endedAtMs }) => outcome === 'complete' && Math.abs(endedAtMs - middleMs) <= halfMs,
  );
  const workMs = answered.reduce((sum, { arrival }) => sum + arrival.runMs * arrival.tasks, 0);
  return workMs / (slots * halfMs * 2);
}

/** Counts answered jobs in each second. */
function countBySecond(records: readonly JobRecord[], seconds: number): number[] {
  const counts = new Array<number>(seconds + 1).fill(0);
  records.forEach(({ outcome, endedAtMs }) => {
    const second = Math.floor(endedAtMs / MS_PER_SECOND);
    if (outcome === 'complete' && second < counts.length) {
      counts[second]! += 1;
    }
  });
  return counts;
}

/** Computes the measures of a run. */
export function computeReport(records: readonly JobRecord[], context: ReportContext): LoadReport {
  const { options, slots, starts, refusals } = context;
  const complete = records.filter(({ outcome }) => outcome === 'complete');
  const listTimes = (isLong: boolean) =>
    complete.filter(({ arrival }) => arrival.isLong === isLong).map(({ tookMs }) => tookMs);
  const countOutcome = (outcome: JobRecord['outcome']) =>
    records.filter((record) => record.outcome === outcome).length;
  const bounds = complete.map(({ arrival, tookMs }) => {
    const boundMs = Math.max(arrival.runMs, (arrival.runMs * arrival.tasks) / slots, 1);
    return tookMs / boundMs;
  });
  const lastMs = Math.max(1, ...records.map(({ endedAtMs }) => endedAtMs));
  return {
    policy: context.policy,
    jobs: records.length,
    complete: complete.length,
    notRun: countOutcome('not-run'),
    failed: countOutcome('failed'),
    unknown: countOutcome('unknown'),
    startsPerSecond: (starts / lastMs) * MS_PER_SECOND,
    shortP50: computePercentile(listTimes(false), 50),
    shortP99: computePercentile(listTimes(false), 99),
    longP50: computePercentile(listTimes(true), 50),
    longP99: computePercentile(listTimes(true), 99),
    overIdeal: computeMean(
      complete.map(({ arrival, tookMs }) => tookMs / Math.max(1, arrival.runMs)),
    ),
    overBound: computeMean(bounds),
    addedP50: computePercentile(
      complete.map(({ arrival, tookMs }) => tookMs - arrival.runMs),
      50,
    ),
    wastedPart: refusals / Math.max(1, starts + refusals),
    crestGoodput: computeCrestGoodput(records, context),
    dispatcherCpuPerThousand: (context.dispatcherCpuSeconds / Math.max(1, starts)) * 1_000,
    unknownDetails: [
      ...new Set(
        records.filter(({ outcome }) => outcome === 'unknown').map(({ detail }) => detail),
      ),
    ].slice(0, 3),
    goodputBySecond: countBySecond(records, options.seconds),
  };
}
