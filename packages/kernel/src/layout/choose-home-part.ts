import type { DomainName } from '../ids/domain-name';
import type { JobId } from '../ids/job-id';
import { computeRendezvousScore } from '../placement/compute-rendezvous-score';
import type { PoolPart } from './pool-part';

/**
 * Chooses the part that a job is submitted to first: one of the entry instance's own failure domain,
 * the same at all instances of the domain, so that copies of a job meet. Undefined if the domain has
 * no part.
 *
 * @param countServers - number of servers of a part in the rack that the job prefers; the part with the most
 *   comes first. Instances that know different servers may choose different parts.
 */
export function chooseHomePart(
  parts: readonly PoolPart[],
  domain: DomainName,
  jobId: JobId,
  countServers: (part: PoolPart) => number = () => 0,
): PoolPart | undefined {
  let best: PoolPart | undefined;
  let bestCount = -1;
  let bestScore = -1;
  parts.forEach((part) => {
    if (part.domain === undefined || part.domain === domain) {
      const count = countServers(part);
      const score = computeRendezvousScore(jobId, part.id);
      if (count > bestCount || (count === bestCount && score > bestScore)) {
        best = part;
        bestCount = count;
        bestScore = score;
      }
    }
  });
  return best;
}
