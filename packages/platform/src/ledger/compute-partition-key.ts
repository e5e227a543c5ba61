/** Number of ledger partitions in the store; changing it needs an empty ledger. */
const PARTITION_COUNT = 64;

const RADIX = 16;
const DIGEST_PREFIX_LENGTH = 8;

/** Computes the store key of the partition that holds a key's digest. */
export function computePartitionKey(digest: string): string {
  const partition = parseInt(digest.slice(0, DIGEST_PREFIX_LENGTH), RADIX) % PARTITION_COUNT;
  return `guavaspindle/ledger/${String(partition).padStart(2, '0')}`;
}
