/**
 * What an incarnation can tell of a ticket.
 *
 * - `own`: this incarnation minted it for this caller, under this number.
 * - `foreign`: another incarnation minted it; what became of it is not known here.
 * - `invalid`: it names this incarnation, which never minted it for this caller.
 */
export type TicketCheck =
  | { readonly type: 'own'; readonly number: number }
  | { readonly type: 'foreign' }
  | { readonly type: 'invalid' };
