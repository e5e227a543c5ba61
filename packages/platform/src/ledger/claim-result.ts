import type { LedgerClaim } from './ledger-claim';

/**
 * The result of a claim.
 *
 * - `claimed`: the claim is in the store.
 * - `taken`: an earlier claim of the same key is in the store.
 * - `refused`: the store did not respond in time; the claim may still be written.
 * - `full`: the key's partition has reached its maximum size until old claims expire.
 */
export type ClaimResult =
  | { readonly type: 'claimed' }
  | { readonly type: 'taken'; readonly claim: LedgerClaim }
  | { readonly type: 'refused'; readonly detail: string }
  | { readonly type: 'full' };
