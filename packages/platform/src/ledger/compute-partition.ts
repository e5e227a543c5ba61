/** Number of ledger partitions in the store; changing it needs an empty ledger. */
const PARTITION_COUNT = 64;

const RADIX = 16;
const PREFIX_LENGTH = 8;

/** Computes the store key of the partition that holds a key's digest. */
export function computePartition(digest: string): string {
  const number = parseInt(digest.slice(0, PREFIX_LENGTH), RADIX) % PARTITION_COUNT;
  return `guavaspindle/ledger/${String(number).padStart(2, '0')}`;
}
