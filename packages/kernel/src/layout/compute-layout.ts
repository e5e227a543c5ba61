import type { DomainName } from '../ids/domain-name';
import type { ServerId } from '../ids/server-id';
import { computeServerPosition } from './compute-server-position';
import type { PoolLayout } from './pool-layout';

/**
 * Largest fleet that one leader serves as a single pool. Its processor is the limit: a small instance
 * carries the starts of about this many servers.
 */
const MAX_SINGLE_POOL_SERVERS = 64;
/** Servers of a part when a failure domain is divided. */
const SERVERS_PER_PART = 36;
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

/**
 * Computes the layout for the servers of each failure domain. A small fleet is one pool, since
 * dividing it wastes capacity at load peaks. Domains only ever gain parts: servers that are missing
 * may be cut off, and each division moves servers between leaders.
 */
export function computeLayout(
  serversByDomain: ReadonlyMap<DomainName, readonly ServerId[]>,
  current: PoolLayout,
): PoolLayout {
  const total = [...serversByDomain.values()].reduce((sum, servers) => sum + servers.length, 0);
  if (current.size === 0 && total <= MAX_SINGLE_POOL_SERVERS) {
    return current;
  }
  const next = new Map(current);
  serversByDomain.forEach((servers, domain) => {
    const wanted = Math.ceil(servers.length / SERVERS_PER_PART);
    const boundaries = current.get(domain);
    const present = boundaries === undefined ? 0 : boundaries.length + 1;
    if (wanted > 0 && wanted >= present * GROWTH_FACTOR) {
      next.set(domain, computeBoundaries(domain, servers, wanted));
    }
  });
  return next;
}
