/**
 * Why a call to the store failed.
 *
 * - `not-sent`: nothing was sent, so the call had no effect.
 * - `unanswered`: no valid response arrived; the call may have taken effect or may still do so.
 * - `rejected`: the store refused the call, which had no effect.
 */
export interface StoreError {
  readonly type: 'not-sent' | 'unanswered' | 'rejected';
  readonly detail: string;
}
