/* eslint-disable */
// A stand-in of the platform's store, after PROTOCOL.md, "The platform's metadata store". Each client has a
// port of its own, so that the path of one client can be cut.
import { createServer } from 'node:http';
import { once } from 'node:events';

export class Store {
  constructor(log) {
    this.log = log;
    this.items = new Map();
    this.events = [];
    this.revision = 100;
    this.forgotten = 0;
    this.waiters = new Set();
    this.leases = new Map();
    this.nextLease = 70000;
    this.ports = [];
  }

  /** Opens a port for one client. `view` may change how addresses of that client's peers read. */
  async openPort(client, view = (_key, value) => value) {
    const port = { client, mode: 'pass', sockets: new Set(), view };
    const server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => {});
      request.on('end', async () => {
        const socket = request.socket;
        if (port.mode === 'silent') {
          socket.lost = true;
        }
        if (socket.lost) {
          return;
        }
        const url = new URL(request.url, 'http://store');
        const text = Buffer.concat(chunks).toString('utf8');
        const [status, body] = await this.handle(
          port,
          request.method,
          url,
          text === '' ? {} : JSON.parse(text),
        );
        if (port.mode === 'silent') {
          socket.lost = true;
        }
        if (socket.lost || response.destroyed) {
          return;
        }
        response.writeHead(status, {
          'content-type': 'application/json',
          // An HTTP/1.1 server may say how long it keeps idle connections at least.
          ...(this.idleS === undefined
            ? {}
            : { connection: 'keep-alive', 'keep-alive': `timeout=${this.idleS}` }),
        });
        response.end(JSON.stringify(body));
      });
    });
    // The time that is named is a minimum: idle connections are closed after a minute more, or not at all.
    server.keepAliveTimeout = this.idleS === undefined ? 0 : (this.idleS + 60) * 1000;
    server.requestTimeout = 0;
    server.on('connection', (socket) => {
      port.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => port.sockets.delete(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    port.server = server;
    port.address = `127.0.0.1:${server.address().port}`;
    this.ports.push(port);
    return port;
  }

  /** Cuts or restores the path of a client. A connection that has lost bytes stays silent. */
  setMode(port, mode) {
    port.mode = mode;
    if (mode === 'silent') {
      port.sockets.forEach((socket) => {
        socket.lost = true;
      });
    }
  }

  close() {
    this.ports.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }

  write(key, value, lease = 0) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.events.push({ key, revision: this.revision, item });
    this.wake();
  }

  writeText(key, text) {
    this.write(key, Buffer.from(text, 'utf8').toString('base64'));
  }

  delete(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.events.push({ key, revision: this.revision, item: undefined });
      this.wake();
    }
  }

  readText(key) {
    const item = this.items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
  }

  wake() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((resolve) => resolve());
  }

  show(port, item) {
    return { ...item, value: port.view(item.key, item.value) };
  }

  async handle(port, method, url, body) {
    const path = url.pathname;
    if (path === '/kv-key') {
      const item = this.items.get(url.searchParams.get('key'));
      return item === undefined
        ? [404, {}]
        : [200, { ...this.show(port, item), atRevision: this.revision }];
    }
    if (path === '/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [
        200,
        {
          items: all.slice(0, 500).map((item) => this.show(port, item)),
          hasMore: all.length > 500,
          atRevision: this.revision,
        },
      ];
    }
    if (path === '/kv-watch') {
      return this.watch(port, url.searchParams);
    }
    if (path === '/kv-txn') {
      return this.commit(port, body);
    }
    if (path === '/kv-lease') {
      const lease = (this.nextLease += 1);
      this.renew(lease, Math.max(1000, body.ttlMs));
      return [200, { lease, ttlMs: Math.max(1000, body.ttlMs) }];
    }
    if (path.startsWith('/kv-keep/')) {
      const lease = Number(path.slice(9));
      const known = this.leases.get(lease);
      if (known === undefined) {
        return [404, {}];
      }
      this.renew(lease, known.ttlMs);
      return [200, { ttlMs: known.ttlMs }];
    }
    if (path.startsWith('/kv-lease-end/')) {
      this.endLease(Number(path.slice(14)));
      return [200, {}];
    }
    return [404, {}];
  }

  renew(lease, ttlMs) {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.set(lease, { ttlMs, timer: setTimeout(() => this.endLease(lease), ttlMs) });
  }

  endLease(lease) {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    [...this.items.values()]
      .filter((item) => item.lease === lease)
      .forEach(({ key }) => this.delete(key));
  }

  async watch(port, query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endMs = performance.now() + Math.min(30000, Number(query.get('waitMs') ?? 0));
    for (;;) {
      if (after < this.forgotten) {
        return [410, {}];
      }
      const events = this.events
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix))
        .map(({ key, revision, item }) =>
          item === undefined ? { key, revision, deleted: true } : this.show(port, item),
        );
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
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

  commit(port, { expected = [], writes = [], deletes = [] }) {
    const keys = [...writes.map(({ key }) => key), ...deletes];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      return [403, {}];
    }
    const failed = expected.some(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision,
    );
    if (failed) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      return [404, {}];
    }
    if (expected.length > 0) {
      this.lastConditional = port.client;
    }
    this.revision += 1;
    writes.forEach(({ key, value, lease = 0 }) => {
      const created = this.items.get(key)?.created ?? this.revision;
      const item = { key, value, revision: this.revision, created, lease };
      this.items.set(key, item);
      this.events.push({ key, revision: this.revision, item });
      this.log('store', `${port.client} wrote ${key} at revision ${this.revision}`);
    });
    deletes.forEach((key) => {
      if (this.items.delete(key)) {
        this.events.push({ key, revision: this.revision, item: undefined });
      }
    });
    this.wake();
    return [200, { revision: this.revision }];
  }
}
