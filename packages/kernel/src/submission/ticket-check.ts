/**
 * The result of checking a ticket on one incarnation.
 *
 * - `own`: this incarnation issued the ticket, with this number, for this caller.
 * - `foreign`: the ticket names another incarnation; its state is not known here.
 * - `invalid`: the ticket is malformed, or it names this incarnation, which did not issue it for
 *   this caller.
 */
export type TicketCheck =
  | { readonly type: 'own'; readonly number: number }
  | { readonly type: 'foreign' }
  | { readonly type: 'invalid' };
