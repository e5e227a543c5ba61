import type { DomainName } from '../ids/domain-name';
import type { IncarnationId } from '../ids/incarnation-id';
import type { TicketParts } from './ticket-parts';

const TICKET_PATTERN = /^t1\.([a-z0-9-]{1,40})\.([0-9a-f]{16})\.([0-9a-z]{1,10})\.([0-9a-f]{24})$/;
const TICKET_NUMBER_RADIX = 36;

/** Parses a ticket's text into its parts. Returns undefined if the text is malformed. */
export function decodeTicket(text: string): TicketParts | undefined {
  const match = TICKET_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, domain, incarnation, number, mac] = match as unknown as [
    string,
    string,
    string,
    string,
    string,
  ];
  return {
    domain: domain as DomainName,
    incarnation: incarnation as IncarnationId,
    number: parseInt(number, TICKET_NUMBER_RADIX),
    mac,
  };
}
