import type { LedgerClaim } from './ledger-claim';

/**
 * What became of a claim.
 *
 * - `claimed`: the claim is in the store.
 * - `taken`: an earlier claim of the same key is in the store.
 * - `refused`: the store could not be asked in time; the claim may still land.
 * - `full`: the key's partition has no room until old claims expire.
 */
export type ClaimResult =
  | { readonly type: 'claimed' }
  | { readonly type: 'taken'; readonly claim: LedgerClaim }
  | { readonly type: 'refused'; readonly detail: string }
  | { readonly type: 'full' };
