import type { DomainName } from '../ids/domain-name';

/**
 * How the backend servers are divided among leaders: the number of parts of each failure domain. An
 * empty map stands for a single part that spans all domains.
 */
export type PoolLayout = ReadonlyMap<DomainName, number>;
