/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the rendezvous (highest random weight) score of a node for a key. Every process that
 * knows the same nodes finds the same best node, and the loss of a node moves only the keys of that
 * node.
 */
export function computeRendezvousScore(key: string, node: string): number {
  const text = `${node}\n${key}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // Final mixing: with FNV alone, keys that differ only at the end get similar scores.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
