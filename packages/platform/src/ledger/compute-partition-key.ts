/** Number of ledger partitions in the store; it may only change while the ledger is empty. */
const PARTITION_COUNT = 64;

const RADIX = 16;
const DIGEST_PREFIX_LENGTH = 8;

/** Computes the store key of the partition to which a key's digest belongs. */
export function computePartitionKey(digest: string): string {
  const partition = parseInt(digest.slice(0, DIGEST_PREFIX_LENGTH), RADIX) % PARTITION_COUNT;
  return `guavaspindle/ledger/${String(partition).padStart(2, '0')}`;
}
