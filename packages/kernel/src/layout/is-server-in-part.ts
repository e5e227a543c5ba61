import type { ServerReport } from '../engine/server-report';
import { computeServerPosition } from './compute-server-position';
import type { PoolPart } from './pool-part';

/** Returns whether a server belongs to a part; the same at every instance and after a restart. */
export function isServerInPart(
  part: PoolPart,
  server: Pick<ServerReport, 'id' | 'domain'>,
): boolean {
  if (part.domain === undefined) {
    return true;
  }
  if (part.domain !== server.domain) {
    return false;
  }
  const position = computeServerPosition(server);
  return position >= part.fromPosition && position < part.toPosition;
}
