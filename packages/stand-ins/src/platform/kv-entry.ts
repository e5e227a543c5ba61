/** The value of a key in the key-value store, with the change indexes that Consul reports. */
export interface KvEntry {
  readonly value: string;
  readonly createIndex: number;
  readonly modifyIndex: number;
}
