import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import type { AbsentRun } from './absent-run';

/** A server's clock may be slower than true time by this factor, as the platform's rules allow. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;

/** What the answer to one call says of the runs on a server. */
interface RunListing {
  /** When the call was sent, in own monotonic milliseconds; what the answer says holds for no earlier time. */
  readonly sentAtMs: number;
  /** The runs that the server lists; undefined if the server has gone, and all its runs with it. */
  readonly running: ReadonlySet<string> | undefined;
  /** Longest time that a run goes on after the server has answered an order to stop it. */
  readonly stopTimeoutMs: number;
}

/** Returns whether the start of a run can have no effect any more that it had not had when the call was sent. */
function isStartSettled(run: EngineRun, sentAtMs: number): boolean {
  const settledAtMs = run.isAdopted === true ? run.startedAtMs : run.startSettledAtMs;
  return settledAtMs !== undefined && settledAtMs <= sentAtMs;
}

/**
 * Lists the runs that are over as an answer does not list them. The answer may have been made at any time since its
 * call was sent, and may have been overtaken by others: it tells nothing about a run whose last order was not
 * answered before, or whose start was still under way. A server that has gone takes all others with it.
 */
export function listAbsentRuns(
  runs: Iterable<EngineRun>,
  { sentAtMs, running, stopTimeoutMs }: RunListing,
): AbsentRun[] {
  return [...runs].filter((run): run is AbsentRun => {
    if (running === undefined || !isStartSettled(run, sentAtMs)) {
      return isStartSettled(run, sentAtMs);
    }
    if (run.answeredAtMs === undefined || running.has(`${run.task}/${run.run}`)) {
      return false;
    }
    const maxStopMs = run.state === 'stopping' ? stopTimeoutMs * MAX_CLOCK_DRIFT_FACTOR : 0;
    return run.answeredAtMs + maxStopMs <= sentAtMs;
  });
}
