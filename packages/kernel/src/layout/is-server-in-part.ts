import type { ServerReport } from '../engine/server-report';
import { computeRendezvousScore } from '../placement/compute-rendezvous-score';
import type { PoolPart } from './pool-part';

/** Returns whether a server belongs to a part; the same at every instance and after a restart. */
export function isServerInPart(
  part: PoolPart,
  { id, domain }: Pick<ServerReport, 'id' | 'domain'>,
): boolean {
  return (
    part.domain === undefined ||
    (part.domain === domain && computeRendezvousScore(id, domain) % part.count === part.index)
  );
}
