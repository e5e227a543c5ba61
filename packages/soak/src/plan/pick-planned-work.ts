import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { buildConfigurationText } from '@guavaspindle/platform-adapter/stand-ins/build-configuration-text';
import { changingPrefixes } from './changing-prefixes';
import type { PlannedFault } from './planned-fault';
import type { PlannedWork } from './planned-work';
import type { SoakOptions } from './soak-options';

/** Mean time between two pieces of work of a kind, in milliseconds. */
const MEAN_GAP_MS: Readonly<Record<PlannedWork['kind'], number>> = {
  shutdown: 2_500,
  configuration: 600,
  'hang-up': 1_200,
  burst: 3_500,
};
/** Instances that one restart takes in, one after the other or at the same time. */
const MOST_RESTARTS = 3;
const MOST_RESTART_GAP_MS = 3_000;
/** How long an instance stays away after it has shut down. */
const MOST_AWAY_MS = 1_000;
/** One process of so many is asked to shut down again up to so long after the first time. */
const AGAIN_SHARE = 4;
const MOST_AGAIN_MS = 2_300;
const MOST_BURST_FACTOR = 6;
const MOST_BURST_MS = 2_000;
const LEAST_TIMEOUT_MS = 800;
const MOST_TIMEOUT_MS = 4_000;
/** Versions of the configuration rise in steps up to this. */
const MOST_VERSION_STEP = 5;

/** Draws a run's planned work; the same seed gives the same. */
export function pickPlannedWork(options: SoakOptions): PlannedFault[] {
  const random = xoroshiro128plus(options.seed);
  const pick = (least: number, most: number): number => uniformInt(random, least, most);
  const pickTimes = (kind: PlannedWork['kind']): number[] => {
    const times: number[] = [];
    for (let atMs = pick(0, MEAN_GAP_MS[kind]); atMs < options.faultsMs;) {
      times.push(atMs);
      atMs += pick(1, 2 * MEAN_GAP_MS[kind]);
    }
    return times;
  };
  // A second signal would hide what the end of a shutdown does, so even seeds have none.
  const onlyOnce = options.seed % 2 === 0;
  const restarts = pickTimes('shutdown').flatMap((firstMs) => {
    const fromLeader = pick(0, 1) === 1;
    const first = fromLeader ? 0 : pick(0, options.instances - 1);
    const gapMs = pick(0, 1) * pick(1, MOST_RESTART_GAP_MS);
    return Array.from({ length: pick(1, MOST_RESTARTS) }, (_unused, index): PlannedFault => {
      const isAgain = !onlyOnce && pick(1, AGAIN_SHARE) === 1;
      const againMs = isAgain ? pick(1, MOST_AGAIN_MS) : undefined;
      const instance = (first + index) % options.instances;
      return {
        atMs: firstMs + index * gapMs,
        forMs: pick(1, MOST_AWAY_MS),
        fault: { kind: 'shutdown', instance, fromLeader, againMs, onlyOnce },
      };
    });
  });
  const hangUps = pickTimes('hang-up').map((atMs): PlannedFault => ({
    atMs,
    forMs: 0,
    fault: { kind: 'hang-up', instance: pick(0, options.instances - 1) },
  }));
  let version = 1;
  const configurations = pickTimes('configuration').map((atMs): PlannedFault => {
    version += pick(1, MOST_VERSION_STEP);
    const prefixes = changingPrefixes.filter(() => pick(0, 1) === 1);
    const timeoutMs = pick(LEAST_TIMEOUT_MS, MOST_TIMEOUT_MS);
    const text = buildConfigurationText(version, ['/q/', ...prefixes], timeoutMs);
    return { atMs, forMs: 0, fault: { kind: 'configuration', text } };
  });
  const bursts = pickTimes('burst').map((atMs): PlannedFault => ({
    atMs,
    forMs: pick(1, MOST_BURST_MS),
    fault: { kind: 'burst', factor: pick(2, MOST_BURST_FACTOR) },
  }));
  return [...restarts, ...hangUps, ...configurations, ...bursts];
}
