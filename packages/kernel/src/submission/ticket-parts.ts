import type { DomainName } from '../ids/domain-name';
import type { IncarnationId } from '../ids/incarnation-id';

/**
 * The decoded parts of a ticket: the incarnation that issued it and its number within that
 * incarnation.
 */
export interface TicketParts {
  readonly domain: DomainName;
  readonly incarnation: IncarnationId;
  readonly number: number;
  /** Keyed hash (MAC) in hexadecimal that only the issuer can compute. */
  readonly mac: string;
}
