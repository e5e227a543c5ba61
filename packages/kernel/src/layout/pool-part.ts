import type { DomainName } from '../ids/domain-name';
import type { PartId } from '../ids/part-id';

/** A part of the backend servers; one instance leads it. */
export interface PoolPart {
  readonly id: PartId;
  /** The failure domain of the part's servers; undefined for a part that spans all domains. */
  readonly domain: DomainName | undefined;
  /** Number of the part among those of the same failure domain, from 0. */
  readonly index: number;
  /** Positions of the part's servers: from this one on. */
  readonly fromPosition: number;
  /** Positions of the part's servers: below this one. */
  readonly toPosition: number;
}
