import { createHash } from 'node:crypto';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';

/** Computes a digest that is equal for equal sets of servers, addresses included. */
export function computeServerDigest(
  servers: readonly Pick<ServerReport, 'id' | 'address'>[],
): string {
  const names = servers.map(({ id, address }) => `${id}@${address}`).sort();
  return createHash('sha1').update(names.join('\n')).digest('base64');
}
