import type { DomainName } from '../ids/domain-name';
import type { JobId } from '../ids/job-id';
import type { PartId } from '../ids/part-id';
import { computeRendezvousScore } from '../placement/compute-rendezvous-score';
import type { PoolPart } from './pool-part';

/**
 * Chooses the part outside the closed failure domains that a job moves to from its own: by hash, so that
 * the jobs of a closed part spread over all others, and copies of a job go to the same one. Undefined if there
 * is none.
 */
export function chooseOpenPart(
  parts: readonly PoolPart[],
  closedDomains: ReadonlySet<DomainName>,
  own: PartId | undefined,
  jobId: JobId,
): PartId | undefined {
  const open = parts.filter(
    ({ id, domain }) => id !== own && (domain === undefined || !closedDomains.has(domain)),
  );
  const scores = open.map(({ id }) => computeRendezvousScore(jobId, id));
  return open[scores.indexOf(Math.max(...scores))]?.id;
}
