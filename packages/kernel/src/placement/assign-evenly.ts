import { rankNodes } from './rank-nodes';

/**
 * Assigns keys to nodes by rendezvous hashing with bounded loads: no node gets more than its even
 * share, rounded up. All processes that know the same keys and nodes compute the same assignment.
 */
export function assignEvenly<Key extends string, Node extends string>(
  keys: readonly Key[],
  nodes: readonly Node[],
): Map<Key, Node> {
  const maxPerNode = Math.ceil(keys.length / Math.max(1, nodes.length));
  const counts = new Map<Node, number>();
  const assigned = new Map<Key, Node>();
  [...keys].sort().forEach((key) => {
    const node = rankNodes(key, nodes).find(
      (candidate) => (counts.get(candidate) ?? 0) < maxPerNode,
    );
    if (node !== undefined) {
      counts.set(node, (counts.get(node) ?? 0) + 1);
      assigned.set(key, node);
    }
  });
  return assigned;
}
