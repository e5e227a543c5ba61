import type { KvEntry } from './kv-entry';

/** Builds a key's entry as Consul's key-value service answers it. */
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
