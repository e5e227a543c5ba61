import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PlannedFault } from './planned-fault';
import type { ServerRestart } from './server-restart';
import type { SoakOptions } from './soak-options';

/** Mean time between two series of restarts, and between two times in which answers overtake each other. */
const MEAN_GAP_MS = 2_000;
const LEAST_LENGTH_MS = 400;
const MOST_LENGTH_MS = 3_000;
/** Servers of one series, and how often each of them restarts. */
const MOST_SERVERS = 4;
const MOST_TIMES = 3;
const MOST_DOWN_MS = 300;
/** Keeps the draws apart from those of the other faults, whose seeds are kept. */
const SEED_OFFSET = 2_000_003;

/**
 * Draws restarts of backend servers, and when answers overtake each other: together they show whether an answer of
 * one life of a server, or of one moment, is taken for one of another.
 */
export function pickServerLives(options: SoakOptions): PlannedFault[] {
  const random = xoroshiro128plus(options.seed + SEED_OFFSET);
  const pick = (least: number, most: number): number => uniformInt(random, least, most);
  const pickTimes = (): Pick<PlannedFault, 'atMs' | 'forMs'>[] => {
    const times: Pick<PlannedFault, 'atMs' | 'forMs'>[] = [];
    for (let atMs = pick(0, MEAN_GAP_MS); atMs < options.faultsMs;) {
      const forMs = Math.min(pick(LEAST_LENGTH_MS, MOST_LENGTH_MS), options.faultsMs - atMs);
      times.push({ atMs, forMs });
      atMs += pick(1, 2 * MEAN_GAP_MS);
    }
    return times;
  };
  const pickRestart = (server: number, forMs: number): ServerRestart => {
    const afterMs = pick(0, forMs);
    // Half of the servers are back at once: nobody has noticed that they were away.
    const downMs = pick(0, 1) * pick(0, Math.min(MOST_DOWN_MS, forMs - afterMs));
    return { server, afterMs, downMs };
  };
  const restarts = pickTimes().map(({ atMs, forMs }): PlannedFault => {
    const servers = Array.from({ length: pick(1, MOST_SERVERS) }, () =>
      pick(0, options.servers - 1),
    );
    const series = servers.flatMap((server) =>
      Array.from({ length: pick(1, MOST_TIMES) }, () => pickRestart(server, forMs)),
    );
    return { atMs, forMs, fault: { kind: 'server-restart', restarts: series } };
  });
  const overtaking = pickTimes().map(({ atMs, forMs }): PlannedFault => ({
    atMs,
    forMs,
    fault: { kind: 'overtaking' },
  }));
  return [...restarts, ...overtaking];
}
