/** A value and the index of its last change, which a compare-and-swap has to name. */
export interface StoredValue {
  readonly text: string;
  readonly modifyIndex: number;
}
