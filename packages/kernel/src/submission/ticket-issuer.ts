import { createHmac, timingSafeEqual } from 'node:crypto';
import type { CallerName } from '../ids/caller-name';
import type { DomainName } from '../ids/domain-name';
import type { IncarnationId } from '../ids/incarnation-id';
import type { JobId } from '../ids/job-id';
import { decodeTicket } from './decode-ticket';
import type { TicketCheck } from './ticket-check';

const MAC_HEX_LENGTH = 24;
const NUMBER_RADIX = 36;

/** The caller value in the MAC of tickets for gateways. The caller is bound at the first use. */
const NO_CALLER = '';

/** Issues and checks the tickets of one dispatcher incarnation. */
export class TicketIssuer {
  private nextNumber = 0;

  /**
   * @param secret - MAC key that only this incarnation knows, so that tickets cannot be forged
   */
  constructor(
    private readonly domain: DomainName,
    private readonly incarnation: IncarnationId,
    private readonly secret: Buffer,
  ) {}

  /** Issues a ticket for a caller, or for any caller if none is given. */
  issueTicket(caller?: CallerName): JobId {
    const number = this.nextNumber;
    this.nextNumber += 1;
    const mac = this.computeMac(number, caller ?? NO_CALLER);
    return `t1.${this.domain}.${this.incarnation}.${number.toString(NUMBER_RADIX)}.${mac}` as JobId;
  }

  /** Checks whether this incarnation issued the ticket for this caller. */
  checkTicket(ticket: JobId, caller: CallerName): TicketCheck {
    const parts = decodeTicket(ticket);
    if (parts === undefined) {
      return { type: 'invalid' };
    }
    if (parts.incarnation !== this.incarnation) {
      return { type: 'foreign' };
    }
    const isIssued = parts.number < this.nextNumber;
    const isMacValid = [caller, NO_CALLER].some((boundCaller) =>
      timingSafeEqual(
        Buffer.from(parts.mac),
        Buffer.from(this.computeMac(parts.number, boundCaller)),
      ),
    );
    return isIssued && isMacValid ? { type: 'own', number: parts.number } : { type: 'invalid' };
  }

  private computeMac(number: number, caller: string): string {
    return createHmac('sha256', this.secret)
      .update(`${number}:${caller}`)
      .digest('hex')
      .slice(0, MAC_HEX_LENGTH);
  }
}
