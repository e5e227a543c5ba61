/**
 * Why an edit was not accepted.
 *
 * - `conflict`: the row was changed since the operator saw it.
 * - `bad-cell`: a cell holds what it may not, or the row would stand twice.
 * - `store-unavailable`: the store could not be asked; nothing was written.
 * - `unsettled`: the write's answer was lost and cannot be settled; it may still take effect.
 */
export interface EditError {
  readonly type: 'conflict' | 'bad-cell' | 'store-unavailable' | 'unsettled';
  readonly detail: string;
}
