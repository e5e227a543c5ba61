import type { Client } from '@connectrpc/connect';
import type { DispatcherService } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Number of tickets requested from a dispatcher in one call. */
const BATCH_SIZE = 200;
const MINT_TIMEOUT_MS = 1_000;

/**
 * Caches tickets for submissions that have none, prefetched in batches from each dispatcher. With a
 * ticket, the gateway can resend a submission to its owner without starting it twice.
 */
export class TicketPool {
  private readonly ticketsByIncarnation = new Map<string, string[]>();

  private readonly pendingFetches = new Map<string, Promise<void>>();

  /** Takes a ticket of the given incarnation. Returns undefined if none is available. */
  async takeTicket(
    incarnation: string,
    client: Client<typeof DispatcherService>,
  ): Promise<string | undefined> {
    const tickets = this.getTickets(incarnation);
    if (tickets.length === 0) {
      await this.fetchBatch(incarnation, client);
    } else if (tickets.length < BATCH_SIZE / 2) {
      void this.fetchBatch(incarnation, client);
    }
    return tickets.pop();
  }

  /** Drops the tickets of all incarnations but the given ones. */
  retainIncarnations(incarnations: ReadonlySet<string>): void {
    [...this.ticketsByIncarnation.keys()]
      .filter((incarnation) => !incarnations.has(incarnation))
      .forEach((incarnation) => this.ticketsByIncarnation.delete(incarnation));
  }

  private getTickets(incarnation: string): string[] {
    const tickets = this.ticketsByIncarnation.get(incarnation) ?? [];
    this.ticketsByIncarnation.set(incarnation, tickets);
    return tickets;
  }

  /** Fetches one batch. Calls for the same incarnation share one fetch. Never rejects. */
  private fetchBatch(incarnation: string, client: Client<typeof DispatcherService>): Promise<void> {
    const pendingFetch = this.pendingFetches.get(incarnation);
    if (pendingFetch !== undefined) {
      return pendingFetch;
    }
    const fetch = client
      .mintTickets({ caller: '', count: BATCH_SIZE }, { timeoutMs: MINT_TIMEOUT_MS })
      .then((reply) => {
        // A ticket names the incarnation that issued it. After a restart, another incarnation may
        // answer at the same address.
        const matchingTickets = reply.tickets.filter((ticket) =>
          ticket.includes(`.${incarnation}.`),
        );
        this.getTickets(incarnation).push(...matchingTickets);
      })
      .catch(() => {})
      .finally(() => this.pendingFetches.delete(incarnation));
    this.pendingFetches.set(incarnation, fetch);
    return fetch;
  }
}
