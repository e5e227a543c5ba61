import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ProxyMode } from '@guavaspindle/platform-adapter/stand-ins/proxy-mode';
import type { PlannedFault } from './planned-fault';
import type { PlannedWork } from './planned-work';
import type { SoakFault } from './soak-fault';
import type { SoakOptions } from './soak-options';

/** Mean time between two faults, in milliseconds: shorter than most of them last, so that they overlap. */
const MEAN_GAP_MS = 700;
const LEAST_LENGTH_MS = 200;
const MOST_LENGTH_MS = 3_000;

const KINDS: readonly (
  | Exclude<SoakFault['kind'], PlannedWork['kind'] | 'odd-entry' | 'server-restart' | 'overtaking'>
  | 'shutdown'
)[] = ['pause', 'kill', 'shutdown', 'store-path', 'server-path', 'store-answers', 'start-answers'];
const MODES: readonly ProxyMode[] = ['silent', 'one-way', 'delay', 'refuse'];

/** Draws the faults of a run; the same seed gives the same faults. */
export function pickFaults(options: SoakOptions): PlannedFault[] {
  const random = xoroshiro128plus(options.seed);
  const pickBelow = (bound: number): number => uniformInt(random, 0, bound - 1);
  const pickFault = (): SoakFault => {
    const kind = KINDS[pickBelow(KINDS.length)]!;
    const instance = pickBelow(options.instances);
    const server = pickBelow(options.servers);
    const mode = MODES[pickBelow(MODES.length)]!;
    switch (kind) {
      case 'pause':
      case 'kill':
      case 'shutdown':
        return { kind, instance };
      case 'store-path':
        return { kind, instance, mode };
      case 'server-path':
        return { kind, server, mode };
      case 'start-answers':
        return { kind, server };
      case 'store-answers':
        return { kind };
      default:
        return kind satisfies never;
    }
  };
  const faults: PlannedFault[] = [];
  for (let atMs = pickBelow(MEAN_GAP_MS); atMs < options.faultsMs;) {
    const forMs = LEAST_LENGTH_MS + pickBelow(MOST_LENGTH_MS - LEAST_LENGTH_MS);
    faults.push({ atMs, forMs: Math.min(forMs, options.faultsMs - atMs), fault: pickFault() });
    atMs += 1 + pickBelow(2 * MEAN_GAP_MS);
  }
  return faults;
}
