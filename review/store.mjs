/* eslint-disable */
import { once } from 'node:events';
import { createServer } from 'node:http';

const ANSWER_MS = 4;
const PAGE = 500;

/** The platform's store as PROTOCOL.md describes it, without leases, which the system does not use. */
export class Store {
  constructor({ record }) {
    this.record = record;
    this.items = new Map();
    this.events = [];
    this.revision = 1;
    this.waiters = new Set();
    this.server = createServer((request, response) => this.accept(request, response));
    this.server.keepAliveTimeout = 60000;
  }

  async listen() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key for the operator or an executor. */
  write(key, text) {
    this.revision += 1;
    this.apply(key, Buffer.from(text, 'utf8').toString('base64'));
  }

  remove(key) {
    this.revision += 1;
    this.apply(key, undefined);
  }

  text(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  keys(prefix) {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  apply(key, value) {
    const { revision } = this;
    if (value === undefined) {
      this.items.delete(key);
      this.events.push({ key, revision, deleted: true });
    } else {
      const created = this.items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease: 0 };
      this.items.set(key, item);
      this.events.push(item);
    }
    if (!key.startsWith('servers/')) {
      const by = key.startsWith('guavaspindle/leaders/') ? this.readName(value) : undefined;
      this.record('store', { key, revision, by });
    }
    [...this.waiters].forEach((waiter) => waiter());
  }

  readName(value) {
    return value && JSON.parse(Buffer.from(value, 'base64').toString('utf8')).name;
  }

  accept(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const reply = (status, body) => {
        setTimeout(() => {
          if (response.destroyed) return;
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(body));
        }, ANSWER_MS);
      };
      const { pathname, searchParams } = new URL(request.url, 'http://store');
      const text = Buffer.concat(chunks).toString('utf8');
      switch (pathname) {
        case '/kv-key': {
          const item = this.items.get(searchParams.get('key'));
          reply(item ? 200 : 404, { ...item, atRevision: this.revision });
          return;
        }
        case '/kv-range': {
          const after = searchParams.get('after') ?? '';
          const keys = this.keys(searchParams.get('prefix') ?? '').filter((key) => key > after);
          const items = keys.slice(0, PAGE).map((key) => this.items.get(key));
          reply(200, { items, hasMore: keys.length > PAGE, atRevision: this.revision });
          return;
        }
        case '/kv-watch':
          this.watch(searchParams, reply);
          return;
        case '/kv-txn':
          this.commit(JSON.parse(text), reply);
          return;
        default:
          reply(404, {});
      }
    });
  }

  watch(query, reply) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const answer = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
      reply(200, { events: find(), atRevision: this.revision });
    };
    const waiter = () => {
      if (find().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(query.get('waitMs')));
    this.waiters.add(waiter);
    waiter();
  }

  commit({ expected = [], writes = [], deletes = [] }, reply) {
    const isForeign = (key) => key.startsWith('op/') || key.startsWith('servers/');
    if ([...writes.map(({ key }) => key), ...deletes].some(isForeign)) {
      reply(403, {});
      return;
    }
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      reply(412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) });
      return;
    }
    this.revision += 1;
    writes.forEach(({ key, value }) => this.apply(key, value));
    deletes.forEach((key) => this.apply(key, undefined));
    reply(200, { revision: this.revision });
  }
}
