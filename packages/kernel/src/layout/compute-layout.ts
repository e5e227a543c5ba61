import type { DomainName } from '../ids/domain-name';
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

/**
 * Computes the layout for the numbers of servers by failure domain. A small fleet is one pool, since
 * dividing it wastes capacity at load peaks. Domains only ever gain parts: servers that are missing
 * may be cut off, and each division moves servers between leaders.
 */
export function computeLayout(
  serversByDomain: ReadonlyMap<DomainName, number>,
  current: PoolLayout,
): PoolLayout {
  const total = [...serversByDomain.values()].reduce((sum, servers) => sum + servers, 0);
  if (current.size === 0 && total <= MAX_SINGLE_POOL_SERVERS) {
    return current;
  }
  const next = new Map(current);
  serversByDomain.forEach((servers, domain) => {
    const wanted = Math.ceil(servers / SERVERS_PER_PART);
    const present = current.get(domain) ?? 0;
    if (wanted > 0 && wanted >= present * GROWTH_FACTOR) {
      next.set(domain, wanted);
    }
  });
  return next;
}
