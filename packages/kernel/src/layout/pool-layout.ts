import type { DomainName } from '../ids/domain-name';

/**
 * How the backend servers are divided among leaders. For each failure domain, the ascending positions
 * of the servers' hashes at which a new part begins; a domain without any is a single part. An empty
 * map stands for one part that spans all domains.
 */
export type PoolLayout = ReadonlyMap<DomainName, readonly number[]>;
