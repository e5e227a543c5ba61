import type { DomainName } from '../ids/domain-name';
import type { IncarnationId } from '../ids/incarnation-id';

/** What a ticket's text says: the incarnation that owns it and its number there. */
export interface TicketParts {
  readonly domain: DomainName;
  readonly incarnation: IncarnationId;
  readonly number: number;
  /** Keyed hash that only the owner can compute. */
  readonly mac: string;
}
