import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';

/** What is known when runs on a server are taken to have ended without a listed end. */
interface LostRuns {
  readonly reason: string;
  readonly server: ServerId;
  /** When the call was sent whose answer, or lack of one, decides; own monotonic milliseconds. */
  readonly callSentAtMs: number;
  /** Start of the latest life that has answered, in Unix milliseconds; undefined before the first answer. */
  readonly presentStartedAtMs: number | undefined;
  readonly runs: readonly EngineRun[];
}

/** Returns how long ago something happened, in whole milliseconds. */
function computeAgeMs(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(nowMs - atMs);
}

/** Builds the log fields that show why runs were taken to have ended; the reason comes first. */
export function buildLostRunsFields(lost: LostRuns, nowMs: number): Readonly<object> {
  const { reason, server, callSentAtMs, presentStartedAtMs, runs } = lost;
  return {
    reason,
    server,
    callAgeMs: computeAgeMs(callSentAtMs, nowMs),
    presentStartedAtMs,
    runs: runs.map(({ task, run, state, startedAtMs, answeredAtMs, lifeStartedAtMs }) => ({
      task,
      run,
      state,
      lifeStartedAtMs,
      orderAgeMs: computeAgeMs(startedAtMs, nowMs),
      // Smaller than the age of the call: the answer may be from before the order.
      orderAnsweredAgeMs: computeAgeMs(answeredAtMs, nowMs),
    })),
  };
}
