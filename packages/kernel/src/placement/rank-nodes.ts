import { computeRendezvousScore } from './compute-rendezvous-score';

/** Ranks nodes for a key by highest random weight, the responsible one first. */
export function rankNodes<Node extends string>(key: string, nodes: readonly Node[]): Node[] {
  return [...nodes].sort(
    (left, right) =>
      computeRendezvousScore(key, right) - computeRendezvousScore(key, left) ||
      left.localeCompare(right),
  );
}
