/** A key of the stand-in's store. */
export interface KvEntry {
  readonly value: string;
  readonly createIndex: number;
  readonly modifyIndex: number;
}
