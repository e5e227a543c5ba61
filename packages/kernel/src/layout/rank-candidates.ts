import type { InstanceName } from '../ids/instance-name';
import type { PoolPart } from './pool-part';

/** An instance that can lead a part. */
interface Candidate {
  readonly name: InstanceName;
  /** Processor capacity, in cores. */
  readonly cores: number;
}

/**
 * Ranks the candidates for the leadership of a part, best first: by processor capacity, and among
 * equal ones so that the parts of a domain come to different instances.
 */
export function rankCandidates<Ranked extends Candidate>(
  candidates: readonly Ranked[],
  part: PoolPart,
): readonly Ranked[] {
  const byCores = new Map<number, Ranked[]>();
  candidates.forEach((candidate) => {
    byCores.set(candidate.cores, [...(byCores.get(candidate.cores) ?? []), candidate]);
  });
  return [...byCores]
    .sort(([a], [b]) => b - a)
    .flatMap(([, equals]) => {
      const sorted = [...equals].sort((a, b) => (a.name < b.name ? -1 : 1));
      const offset = part.index % sorted.length;
      return [...sorted.slice(offset), ...sorted.slice(0, offset)];
    });
}
