import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import { ConsulClient } from './consul-client';
import type { KeyValueStore } from './key-value-store';
import { storeAdapters } from './store-adapters';
import type { StoreError } from './store-error';
import type { StoredValue } from './stored-value';

const HTTP_NOT_FOUND = 404;
const HTTP_OK = 200;

/** Parses a key's entry from a response; undefined if the key does not exist. */
function parseEntry(status: number, body: string): Result<StoredValue | undefined, StoreError> {
  if (status === HTTP_NOT_FOUND) {
    return ok(undefined);
  }
  if (status !== HTTP_OK) {
    return err({ type: 'rejected', detail: `status ${status}` });
  }
  try {
    const [entry] = JSON.parse(body) as { Value: string | null; ModifyIndex: number }[];
    if (entry === undefined) {
      return ok(undefined);
    }
    const text = Buffer.from(entry.Value ?? '', 'base64').toString('utf8');
    return ok({ text, modifyIndex: entry.ModifyIndex });
  } catch {
    return err({ type: 'unanswered', detail: 'the answer is not a key-value entry' });
  }
}

/** The platform's store, accessed through Consul's HTTP API for key-value pairs. */
class ConsulStore implements KeyValueStore {
  private readonly client: ConsulClient;

  constructor(address: string) {
    this.client = new ConsulClient(address);
  }

  readValue(key: string): ResultAsync<StoredValue | undefined, StoreError> {
    // `consistent` prevents stale reads from a lagging server; claims are settled by this read.
    return this.client
      .sendRequest({ method: 'GET', path: `/v1/kv/${key}?consistent` })
      .andThen((response) => parseEntry(response.status, response.body));
  }

  compareAndSet(key: string, text: string, modifyIndex: number): ResultAsync<boolean, StoreError> {
    return this.client
      .sendRequest({ method: 'PUT', path: `/v1/kv/${key}?cas=${modifyIndex}`, body: text })
      .andThen((response): Result<boolean, StoreError> =>
        response.status === HTTP_OK
          ? ok(response.body.trim() === 'true')
          : err({ type: 'rejected', detail: `status ${response.status}` }),
      );
  }

  watchValue(key: string, index: number, waitMs: number) {
    const path = `/v1/kv/${key}?index=${index}&wait=${waitMs}ms`;
    return this.client.sendRequest({ method: 'GET', path, waitMs }).andThen((response) =>
      parseEntry(response.status, response.body).map((value) => ({
        value,
        index: response.index,
      })),
    );
  }

  async close(): Promise<void> {
    await this.client.close();
  }
}

storeAdapters.registerPlugin('consul', (address) => new ConsulStore(address));
