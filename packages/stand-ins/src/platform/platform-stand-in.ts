import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import { readBody } from '../http/read-body';
import { sendJson } from '../http/send-json';
import { StandInServer } from '../http/stand-in-server';
import { buildKeyItem } from './build-key-item';
import { buildInstanceItem } from './build-instance-item';
import { BlockingQueries } from './blocking-queries';
import type { KvEntry } from './kv-entry';
import type { ListedInstance } from './listed-instance';
import { platformFaultsSchema } from './platform-faults';

const MAX_VALUE_BYTES = 1_048_576;

/** Number of calls by type; a blocking query counts as one watch, however long it waits. */
interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
}

/**
 * Stands in for the platform's key-value store and instance list. It implements the subset of
 * Consul's HTTP API that the product uses.
 */
export class PlatformStandIn {
  private readonly servers: StandInServer[] = [];

  private readonly entries = new Map<string, KvEntry>();

  private instances: readonly ListedInstance[] = [];

  private servedInstances: readonly ListedInstance[] = [];

  /** Index of the last change to any key or to the instance list. */
  private index = 1;

  private listIndex = 1;

  private faults = platformFaultsSchema.parse({});

  private readonly blockingQueries = new BlockingQueries();

  private readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 };

  /** Opens a port for the processes of one failure domain and returns its address as host:port. */
  async listen(host: string, port: number, domain: string): Promise<string> {
    const server = new StandInServer((request, response) =>
      this.handleRequest(request, response, domain),
    );
    this.servers.push(server);
    return server.listen(host, port);
  }

  /** Sets the faults; faults that are not given are turned off. */
  setFaults(faults: z.input<typeof platformFaultsSchema>): void {
    this.faults = platformFaultsSchema.parse(faults);
    this.replaceServedInstances();
  }

  /** Replaces the instance list. */
  setInstances(instances: readonly ListedInstance[]): void {
    this.instances = instances;
    this.replaceServedInstances();
  }

  /** Writes a key directly, unaffected by the faults. */
  writeKey(key: string, value: string): void {
    this.index += 1;
    const createIndex = this.entries.get(key)?.createIndex ?? this.index;
    this.entries.set(key, { value, createIndex, modifyIndex: this.index });
    this.blockingQueries.wakeAll();
  }

  /** Reads a key directly, unaffected by the faults. */
  readKey(key: string): string | undefined {
    return this.entries.get(key)?.value;
  }

  /** Returns the number of calls so far. */
  readCounts(): Readonly<CallCounts> {
    return this.counts;
  }

  /** Closes all connections and ports. */
  async close(): Promise<void> {
    this.blockingQueries.wakeAll();
    await Promise.all(this.servers.map((server) => server.close()));
  }

  private replaceServedInstances(): void {
    if (this.faults.staleList || this.servedInstances === this.instances) {
      return;
    }
    this.servedInstances = this.instances;
    this.index += 1;
    this.listIndex = this.index;
    this.blockingQueries.wakeAll();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    domain: string,
  ): Promise<void> {
    const body = await readBody(request);
    const url = new URL(request.url ?? '/', 'http://stand-in');
    if (url.pathname.startsWith('/stand-in/')) {
      this.handleControlRequest(`${request.method} ${url.pathname}`, body, response);
      return;
    }
    if (this.faults.slowMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.faults.slowMs);
      });
    }
    if (this.isUnreachable(domain)) {
      response.socket?.destroy();
      return;
    }
    if (url.pathname.startsWith('/v1/kv/')) {
      const key = url.pathname.slice('/v1/kv/'.length);
      await this.handleKeyRequest(request.method ?? '', key, url, body, response, domain);
    } else if (url.pathname === '/v1/health/service/backend-server') {
      await this.handleInstancesRequest(url, response, domain);
    } else {
      sendJson(response, 404, 'no such route');
    }
  }

  private isUnreachable(domain: string): boolean {
    return this.faults.down || this.faults.cutDomains.includes(domain);
  }

  private handleControlRequest(route: string, body: string, response: ServerResponse): void {
    switch (route) {
      case 'POST /stand-in/faults':
        this.setFaults(JSON.parse(body) as z.input<typeof platformFaultsSchema>);
        sendJson(response, 200, this.faults);
        return;
      case 'POST /stand-in/instances':
        this.setInstances(JSON.parse(body) as ListedInstance[]);
        sendJson(response, 200, {});
        return;
      case 'GET /stand-in/instances':
        sendJson(response, 200, this.instances);
        return;
      case 'GET /stand-in/calls':
        sendJson(response, 200, this.counts);
        return;
      default:
        sendJson(response, 404, { error: `no route ${route}` });
    }
  }

  private async handleKeyRequest(
    method: string,
    key: string,
    url: URL,
    body: string,
    response: ServerResponse,
    domain: string,
  ): Promise<void> {
    if (method === 'PUT') {
      this.compareAndSetKey(key, url, body, response);
      return;
    }
    const afterIndex = url.searchParams.get('index');
    if (afterIndex === null) {
      this.counts.reads += 1;
    } else {
      this.counts.watches += 1;
      const isUnchanged = () => (this.entries.get(key)?.modifyIndex ?? 0) <= Number(afterIndex);
      await this.blockingQueries.waitWhile(() => isUnchanged() && !this.faults.down, url);
    }
    if (this.isUnreachable(domain)) {
      response.socket?.destroy();
      return;
    }
    this.sendKey(key, response);
  }

  private sendKey(key: string, response: ServerResponse): void {
    const entry = this.entries.get(key);
    const headers = { 'x-consul-index': String(entry?.modifyIndex ?? this.index) };
    if (entry === undefined) {
      sendJson(response, 404, '', headers);
      return;
    }
    sendJson(response, 200, [buildKeyItem(key, entry)], headers);
  }

  private compareAndSetKey(key: string, url: URL, body: string, response: ServerResponse): void {
    this.counts.writes += 1;
    if (Buffer.byteLength(body) > MAX_VALUE_BYTES) {
      sendJson(response, 413, 'value too large');
      return;
    }
    const expectedIndex = Number(url.searchParams.get('cas') ?? -1);
    const isCurrent = (this.entries.get(key)?.modifyIndex ?? 0) === expectedIndex;
    if (isCurrent) {
      this.writeKey(key, body);
    }
    if (this.faults.loseAnswers) {
      response.socket?.destroy();
      return;
    }
    sendJson(response, 200, isCurrent);
  }

  private async handleInstancesRequest(
    url: URL,
    response: ServerResponse,
    domain: string,
  ): Promise<void> {
    this.counts.watches += 1;
    const afterIndex = Number(url.searchParams.get('index') ?? 0);
    await this.blockingQueries.waitWhile(
      () => this.listIndex <= afterIndex && !this.faults.down,
      url,
    );
    if (this.isUnreachable(domain)) {
      response.socket?.destroy();
      return;
    }
    const filter = url.searchParams.get('filter') ?? '';
    const requestedDomain = /Service\.Meta\.domain == "([^"]*)"/.exec(filter)?.[1];
    const matching = this.servedInstances.filter(
      (instance) => requestedDomain === undefined || instance.meta.domain === requestedDomain,
    );
    const items = matching.map(buildInstanceItem);
    sendJson(response, 200, items, { 'x-consul-index': String(this.listIndex) });
  }
}
