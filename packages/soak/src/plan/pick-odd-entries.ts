import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { PlannedFault } from './planned-fault';
import type { SoakOptions } from './soak-options';

/** Mean time between two odd entries, in milliseconds. */
const MEAN_GAP_MS = 2_000;
/** Longest time that an odd entry stays, in milliseconds; longer than a missing entry is waited for. */
const MOST_LENGTH_MS = 4_000;
/** Keeps the draws apart from those of the other faults, whose seeds are kept. */
const SEED_OFFSET = 1_000_003;
const NESTING = 50_000;

const ODD_TEXTS: readonly string[] = [
  'no JSON',
  '[]',
  '{"service":"pedidos","address":"127.0.0.1:99999","zone":"oviedo","state":"ready","capacity":{"cpu":1,"memMb":1}}',
  '{"service":"pedidos","address":"%zz:80","zone":"oviedo","state":"ready","capacity":{"cpu":1,"memMb":1}}',
  '{"service":"pedidos","address":"127.0.0.1:1","zone":"oviedo","state":"ready","capacity":{"cpu":1e999,"memMb":1}}',
  `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`,
];

/** Draws the odd entries that another writer leaves among those of the servers. */
export function pickOddEntries(options: SoakOptions): PlannedFault[] {
  const random = xoroshiro128plus(options.seed + SEED_OFFSET);
  const pickBelow = (bound: number): number => uniformInt(random, 0, bound - 1);
  const faults: PlannedFault[] = [];
  for (let atMs = pickBelow(MEAN_GAP_MS); atMs < options.faultsMs;) {
    const forMs = Math.min(1 + pickBelow(MOST_LENGTH_MS), options.faultsMs - atMs);
    const text = ODD_TEXTS[pickBelow(ODD_TEXTS.length)]!;
    const server = pickBelow(2) === 0 ? undefined : pickBelow(options.servers);
    faults.push({ atMs, forMs, fault: { kind: 'odd-entry', server, text } });
    atMs += 1 + pickBelow(2 * MEAN_GAP_MS);
  }
  return faults;
}
