import type { ServerReport } from '../engine/server-report';
import { computeRendezvousScore } from '../placement/compute-rendezvous-score';

/** Computes the position of a server, which decides to which part of its failure domain it belongs. */
export function computeServerPosition({ id, domain }: Pick<ServerReport, 'id' | 'domain'>): number {
  return computeRendezvousScore(id, domain);
}
