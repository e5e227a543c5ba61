import { computeRendezvousScore } from './compute-rendezvous-score';

/** Sorts nodes by their rendezvous score for a key, highest first. */
export function rankNodes<Node extends string>(key: string, nodes: readonly Node[]): Node[] {
  return [...nodes].sort(
    (left, right) =>
      computeRendezvousScore(key, right) - computeRendezvousScore(key, left) ||
      left.localeCompare(right),
  );
}
