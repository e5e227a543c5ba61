/** A value and the index of its last change, which a compare-and-set must state. */
export interface StoredValue {
  readonly text: string;
  readonly modifyIndex: number;
}
