import type { DomainName } from '../ids/domain-name';
import type { JobId } from '../ids/job-id';
import { computeRendezvousScore } from '../placement/compute-rendezvous-score';
import type { PoolPart } from './pool-part';

/**
 * Chooses the part that a job is submitted to first: one of the entry instance's own failure domain,
 * the same at all instances of the domain, so that copies of a job meet. Undefined if the domain has
 * no part.
 */
export function chooseHomePart(
  parts: readonly PoolPart[],
  domain: DomainName,
  jobId: JobId,
): PoolPart | undefined {
  let best: PoolPart | undefined;
  let bestScore = -1;
  parts.forEach((part) => {
    if (part.domain === undefined || part.domain === domain) {
      const score = computeRendezvousScore(jobId, part.id);
      if (score > bestScore) {
        best = part;
        bestScore = score;
      }
    }
  });
  return best;
}
