/**
 * Why a call to the store gave no result.
 *
 * - `not-sent`: no byte left, so it had no effect.
 * - `unanswered`: it may have taken effect, or may still do so.
 * - `rejected`: the store refused it; it had no effect.
 */
export interface StoreError {
  readonly type: 'not-sent' | 'unanswered' | 'rejected';
  readonly detail: string;
}
