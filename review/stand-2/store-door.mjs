/* eslint-disable */
// A stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store"). Each instance
// reaches it through a door of its own, so that single instances can be cut off from it.
import { once } from 'node:events';
import { createServer } from 'node:http';

const LATENCY_MS = 4;
const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  items = new Map();
  events = [];
  revision = 1;
  waiters = new Set();
  doors = [];
  keepAliveMs = 75_000;

  /** Writes on behalf of the platform, an executor or the operator. */
  put(key, text) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const value = Buffer.from(text).toString('base64');
    this.record(key, { key, value, revision: this.revision, created, lease: 0 });
  }

  remove(key) {
    if (this.items.has(key)) {
      this.revision += 1;
      this.record(key, undefined);
    }
  }

  text(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  record(key, item) {
    if (item) {
      this.items.set(key, item);
    } else {
      this.items.delete(key);
    }
    this.events.push(item ?? { key, revision: this.revision, deleted: true });
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
  }

  /**
   * Opens a door. `routes` maps the real address of another party to that of the proxy through which the
   * instance behind this door reaches it; the door translates addresses like a NAT gateway would.
   */
  async openDoor(routes = new Map()) {
    const door = { mode: 'pass', address: '', sockets: new Set(), server: undefined };
    const swap = (value, pairs) => {
      let text = Buffer.from(value, 'base64').toString('utf8');
      pairs.forEach(([from, to]) => {
        text = text.replaceAll(`"${from}"`, `"${to}"`);
      });
      return Buffer.from(text).toString('base64');
    };
    const outward = (item) =>
      item.value === undefined ? item : { ...item, value: swap(item.value, [...routes]) };
    const inward = (write) => ({
      ...write,
      value: swap(
        write.value,
        [...routes].map(([real, proxied]) => [proxied, real]),
      ),
    });
    door.server = createServer(async (request, response) => {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      await wait(LATENCY_MS);
      if (door.mode !== 'pass') return;
      const url = new URL(request.url, 'http://store');
      const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : {};
      const [status, reply] = await this.handle(url, body, outward, inward, request);
      if (door.mode !== 'pass' || response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(reply));
    });
    door.server.keepAliveTimeout = this.keepAliveMs;
    door.server.on('connection', (socket) => {
      if (door.mode === 'refuse') {
        socket.resetAndDestroy();
        return;
      }
      door.sockets.add(socket);
      socket.once('close', () => door.sockets.delete(socket));
      socket.on('error', () => {});
    });
    door.setMode = (mode) => {
      door.mode = mode;
      if (mode === 'refuse') door.sockets.forEach((socket) => socket.resetAndDestroy());
    };
    door.server.listen(0, '127.0.0.1');
    await once(door.server, 'listening');
    door.address = `127.0.0.1:${door.server.address().port}`;
    this.doors.push(door);
    return door;
  }

  async handle(url, body, outward, inward, request) {
    const prefix = url.searchParams.get('prefix') ?? '';
    switch (url.pathname) {
      case '/kv-range': {
        const items = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix))
          .sort((a, b) => (a.key < b.key ? -1 : 1))
          .map(outward);
        return [200, { items, hasMore: false, atRevision: this.revision }];
      }
      case '/kv-watch': {
        const after = Number(url.searchParams.get('after'));
        const endMs = performance.now() + Number(url.searchParams.get('waitMs'));
        for (;;) {
          const events = this.events
            .filter(({ key, revision }) => revision > after && key.startsWith(prefix))
            .map(outward);
          const leftMs = endMs - performance.now();
          if (events.length > 0 || leftMs <= 0 || request.destroyed) {
            return [200, { events, atRevision: this.revision }];
          }
          await new Promise((resolve) => {
            const timer = setTimeout(resolve, leftMs);
            this.waiters.add(() => {
              clearTimeout(timer);
              resolve();
            });
          });
        }
      }
      case '/kv-txn': {
        const { expected = [], writes = [], deletes = [] } = body;
        const rows = expected.map(({ key }) => this.items.get(key));
        if (expected.some(({ revision }, i) => (rows[i]?.revision ?? 0) !== revision)) {
          return [412, { items: rows.filter(Boolean).map(outward) }];
        }
        this.revision += 1;
        writes.map(inward).forEach(({ key, value }) => {
          const created = this.items.get(key)?.created ?? this.revision;
          this.record(key, { key, value, revision: this.revision, created, lease: 0 });
        });
        deletes.forEach((key) => this.items.has(key) && this.record(key, undefined));
        return [200, { revision: this.revision }];
      }
      default:
        return [404, {}];
    }
  }

  close() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
    this.doors.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }
}
