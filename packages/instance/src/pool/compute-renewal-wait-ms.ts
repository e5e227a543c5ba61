import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';

/**
 * Longest time that a server may hold a renewal open. Leases that may be extended are extended about
 * this often or more, well before they expire.
 */
const RENEWAL_WAIT_MS = 500;
/**
 * A lost answer to a renewal hides the ends of runs, so a renewal is held open only until this long
 * after the first expected end.
 */
const EXPECTED_END_SLACK_MS = 60;
const MIN_RENEWAL_WAIT_MS = 100;

/** Computes how long a server may hold the next renewal open, in milliseconds. */
export function computeRenewalWaitMs(runs: Iterable<EngineRun>, nowMs: number): number {
  let waitMs = RENEWAL_WAIT_MS;
  for (const run of runs) {
    const untilEndMs = run.startedAtMs + run.expectedMs - nowMs;
    const overdueMs = Math.max(0, -untilEndMs);
    // The longer a run is overdue, the less often it is checked.
    waitMs = Math.min(waitMs, Math.max(untilEndMs, overdueMs) + EXPECTED_END_SLACK_MS);
  }
  return Math.round(Math.max(MIN_RENEWAL_WAIT_MS, waitMs));
}
