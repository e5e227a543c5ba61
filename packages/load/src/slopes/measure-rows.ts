import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import { findRow } from '@guavaspindle/kernel/table/find-row';
import { parseTable } from '@guavaspindle/kernel/table/parse-table';
import type { SlopeSeries } from './slope-series';

const ROW_COUNTS = [13, 130, 1_300];
const LOOKUPS = 1_000;

/** Builds the text of a table. */
function buildTableText(count: number): string {
  const rows = Array.from({ length: count }, (_unused, index) => ({
    rowId: `row-${index}`,
    caller: `team-${index % 130}`,
    kind: `kind-${Math.floor(index / 130)}`,
    domain: '*',
    weight: 1,
    maxRunning: 1_000,
    startsPerSecond: 1_000,
    maxQueued: 10_000,
    deadlineMs: 30_000,
  }));
  return JSON.stringify({ revision: 1, rows });
}

/** Measures the table's size and work against its number of rows. */
export function measureRows(): SlopeSeries[] {
  const bytes: [number, number][] = [];
  const parseMs: [number, number][] = [];
  const lookupUs: [number, number][] = [];
  ROW_COUNTS.forEach((count) => {
    const text = buildTableText(count);
    bytes.push([count, text.length]);
    const startedAt = performance.now();
    const table = parseTable(text)._unsafeUnwrap();
    parseMs.push([count, performance.now() - startedAt]);
    const lookedUpAt = performance.now();
    for (let index = 0; index < LOOKUPS; index += 1) {
      const caller = `team-${index % 130}` as CallerName;
      findRow(table, caller, 'kind-0' as KindName, 'oviedo' as DomainName);
    }
    lookupUs.push([count, ((performance.now() - lookedUpAt) / LOOKUPS) * 1_000]);
  });
  return [
    { size: 'rows', figure: 'table, bytes', points: bytes },
    { size: 'rows', figure: 'reading the table, ms', points: parseMs },
    { size: 'rows', figure: 'finding a row, us', points: lookupUs },
  ];
}
