import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import { readBody } from '../http/read-body';
import { sendJson } from '../http/send-json';
import { StandInServer } from '../http/stand-in-server';
import { buildKeyItem } from './build-key-item';
import { buildListItem } from './build-list-item';
import { ChangeWaiters } from './change-waiters';
import type { KvEntry } from './kv-entry';
import type { ListedInstance } from './listed-instance';
import { platformFaultsSchema } from './platform-faults';

const MAX_VALUE_BYTES = 1_048_576;

/** Calls counted by what they were; a waiting watch counts as one. */
interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** The platform's store and instance list: the used subset of Consul's HTTP protocol. */
export class PlatformStandIn {
  private readonly servers: StandInServer[] = [];

  private readonly entries = new Map<string, KvEntry>();

  private instances: readonly ListedInstance[] = [];

  private shownInstances: readonly ListedInstance[] = [];

  /** Index of the last change of any key or of the list. */
  private index = 1;

  private listIndex = 1;

  private faults = platformFaultsSchema.parse({});

  private readonly waiters = new ChangeWaiters();

  private readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 };

  /** Opens a port for the processes of one failure domain and returns host:port. */
  async listen(host: string, port: number, domain: string): Promise<string> {
    const server = new StandInServer((request, response) =>
      this.handleRequest(request, response, domain),
    );
    this.servers.push(server);
    return server.listen(host, port);
  }

  /** Sets the faults; those not given are off. */
  setFaults(faults: z.input<typeof platformFaultsSchema>): void {
    this.faults = platformFaultsSchema.parse(faults);
    this.showInstances();
  }

  /** Replaces the instance list. */
  setInstances(instances: readonly ListedInstance[]): void {
    this.instances = instances;
    this.showInstances();
  }

  /** Writes a key as an administrator would, past all faults. */
  writeKey(key: string, text: string): void {
    this.index += 1;
    const createIndex = this.entries.get(key)?.createIndex ?? this.index;
    this.entries.set(key, { text, createIndex, modifyIndex: this.index });
    this.waiters.wakeAll();
  }

  /** Reads a key as an administrator would. */
  readKey(key: string): string | undefined {
    return this.entries.get(key)?.text;
  }

  /** Calls so far. */
  readCounts(): Readonly<CallCounts> {
    return this.counts;
  }

  /** Cuts everything and closes. */
  async close(): Promise<void> {
    this.waiters.wakeAll();
    await Promise.all(this.servers.map((server) => server.close()));
  }

  private showInstances(): void {
    if (this.faults.staleList || this.shownInstances === this.instances) {
      return;
    }
    this.shownInstances = this.instances;
    this.index += 1;
    this.listIndex = this.index;
    this.waiters.wakeAll();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    domain: string,
  ): Promise<void> {
    const body = await readBody(request);
    const url = new URL(request.url ?? '/', 'http://stand-in');
    if (url.pathname.startsWith('/stand-in/')) {
      this.handleControl(`${request.method} ${url.pathname}`, body, response);
      return;
    }
    if (this.faults.slowMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.faults.slowMs);
      });
    }
    if (this.isCut(domain)) {
      response.socket?.destroy();
      return;
    }
    if (url.pathname.startsWith('/v1/kv/')) {
      const key = url.pathname.slice('/v1/kv/'.length);
      await this.handleKey(request.method ?? '', key, url, body, response, domain);
    } else if (url.pathname === '/v1/health/service/backend-server') {
      await this.handleList(url, response, domain);
    } else {
      sendJson(response, 404, 'no such route');
    }
  }

  private isCut(domain: string): boolean {
    return this.faults.down || this.faults.cutDomains.includes(domain);
  }

  private handleControl(route: string, body: string, response: ServerResponse): void {
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

  private async handleKey(
    method: string,
    key: string,
    url: URL,
    body: string,
    response: ServerResponse,
    domain: string,
  ): Promise<void> {
    if (method === 'PUT') {
      this.writeByCas(key, url, body, response);
      return;
    }
    const after = url.searchParams.get('index');
    if (after === null) {
      this.counts.reads += 1;
    } else {
      this.counts.watches += 1;
      const isUnchanged = () => (this.entries.get(key)?.modifyIndex ?? 0) <= Number(after);
      await this.waiters.waitWhile(() => isUnchanged() && !this.faults.down, url);
    }
    if (this.isCut(domain)) {
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

  private writeByCas(key: string, url: URL, body: string, response: ServerResponse): void {
    this.counts.writes += 1;
    if (Buffer.byteLength(body) > MAX_VALUE_BYTES) {
      sendJson(response, 413, 'value too large');
      return;
    }
    const expected = Number(url.searchParams.get('cas') ?? -1);
    const isCurrent = (this.entries.get(key)?.modifyIndex ?? 0) === expected;
    if (isCurrent) {
      this.writeKey(key, body);
    }
    if (this.faults.loseAnswers) {
      response.socket?.destroy();
      return;
    }
    sendJson(response, 200, isCurrent);
  }

  private async handleList(url: URL, response: ServerResponse, domain: string): Promise<void> {
    this.counts.watches += 1;
    const after = Number(url.searchParams.get('index') ?? 0);
    await this.waiters.waitWhile(() => this.listIndex <= after && !this.faults.down, url);
    if (this.isCut(domain)) {
      response.socket?.destroy();
      return;
    }
    const filter = url.searchParams.get('filter') ?? '';
    const wanted = /Service\.Meta\.domain == "([^"]*)"/.exec(filter)?.[1];
    const shown = this.shownInstances.filter(
      (instance) => wanted === undefined || instance.meta.domain === wanted,
    );
    const entries = shown.map(buildListItem);
    sendJson(response, 200, entries, { 'x-consul-index': String(this.listIndex) });
  }
}
