import type { TableRow } from '@guavaspindle/kernel/table/table-row';

/** Limits at the size of the whole deployment, and far beyond. */
const WIDE_LIMIT = 1_000_000;

/** Builds the row of a kind that limits no caller. */
export function buildWideRow(kind: string, deadlineMs: number): TableRow {
  return {
    rowId: kind,
    caller: '*',
    kind,
    domain: '*',
    weight: 1,
    maxRunning: WIDE_LIMIT,
    startsPerSecond: WIDE_LIMIT,
    maxQueued: WIDE_LIMIT,
    deadlineMs,
  };
}
