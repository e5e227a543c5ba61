import type { KvEntry } from './kv-entry';

/** Builds the item for a key in the response of Consul's key-value endpoint. */
export function buildKeyItem(key: string, entry: KvEntry) {
  return {
    Key: key,
    Value: Buffer.from(entry.value).toString('base64'),
    CreateIndex: entry.createIndex,
    ModifyIndex: entry.modifyIndex,
    LockIndex: 0,
    Flags: 0,
  };
}
