import type { DomainName } from '../ids/domain-name';
import type { ServerId } from '../ids/server-id';
import { computeServerPosition } from './compute-server-position';
import type { PoolLayout } from './pool-layout';

/** Largest fleet that one leader serves as a single pool, whatever its processor. */
const MAX_SINGLE_POOL_SERVERS = 64;
/** Largest part when a failure domain is divided, in servers. */
const MAX_SERVERS_PER_PART = 36;
/** Smallest part in servers; a smaller one wastes more capacity at load peaks than it saves its leader. */
const MIN_SERVERS_PER_PART = 4;
/** Servers whose starts a leader carries for each core of its processor. */
const SERVERS_PER_CORE = 60;
/** A domain is divided anew only if it needs this many times its present parts. */
const GROWTH_FACTOR = 2;

/** Divides the servers of a domain into parts of equal size; returns where the parts begin. */
function computeBoundaries(
  domain: DomainName,
  servers: readonly ServerId[],
  parts: number,
): readonly number[] {
  const positions = servers
    .map((id) => computeServerPosition({ id, domain }))
    .sort((a, b) => a - b);
  return Array.from(
    { length: parts - 1 },
    (_unused, index) => positions[Math.floor(((index + 1) * positions.length) / parts)]!,
  );
}

/** Computes how many servers a leader carries; the limit if its processor capacity is not known. */
function computeCarriedServers(cores: number | undefined, limit: number): number {
  const carried = cores === undefined ? limit : Math.floor(cores * SERVERS_PER_CORE);
  return Math.max(MIN_SERVERS_PER_PART, Math.min(limit, carried));
}

/**
 * Computes the layout for the servers of each failure domain. A small fleet is one pool, since
 * dividing it wastes capacity at load peaks. Domains only ever gain parts: servers that are missing
 * may be cut off, and each division moves servers between leaders.
 *
 * @param coresByDomain - processor capacity of the strongest instance of each failure domain, in cores
 */
export function computeLayout(
  serversByDomain: ReadonlyMap<DomainName, readonly ServerId[]>,
  current: PoolLayout,
  coresByDomain: ReadonlyMap<DomainName, number>,
): PoolLayout {
  const total = [...serversByDomain.values()].reduce((sum, servers) => sum + servers.length, 0);
  const strongest = coresByDomain.size === 0 ? undefined : Math.max(...coresByDomain.values());
  if (current.size === 0 && total <= computeCarriedServers(strongest, MAX_SINGLE_POOL_SERVERS)) {
    return current;
  }
  const next = new Map(current);
  serversByDomain.forEach((servers, domain) => {
    const carried = computeCarriedServers(coresByDomain.get(domain), MAX_SERVERS_PER_PART);
    const wanted = Math.ceil(servers.length / carried);
    const boundaries = current.get(domain);
    const present = boundaries === undefined ? 0 : boundaries.length + 1;
    if (wanted > 0 && wanted >= present * GROWTH_FACTOR) {
      next.set(domain, computeBoundaries(domain, servers, wanted));
    }
  });
  return next;
}
