/* eslint-disable */
// A stand-in for one executor (PROTOCOL.md, "Running tasks" and "Service discovery"): leases on its own
// clock, fencing tokens, lists of runs and ends, lives under one id, and its entry in the store.
import { once } from 'node:events';
import { createServer } from 'node:http';

const MAX_HOLD_MS = 1_000;
const MAX_WAIT_MS = 2_000;
const HEARTBEAT_MS = 1_500;

export class Backend {
  /** @param note - receives {what, server, life, task, run, ...} for each start and end of a run */
  constructor(store, id, zone, note, shape = {}) {
    Object.assign(this, { store, id, zone, note });
    this.capacity = shape.capacity ?? { cpu: 64_000, memMb: 262_144, gpu: 0 };
    this.labels = shape.labels ?? ['a', 'r1-1'];
    this.keepAliveMs = shape.keepAliveMs ?? 75_000;
    this.address = '';
    this.lives = 0;
    this.calledAtMs = -Infinity;
  }

  /** Opens the port for good, and begins the first life. */
  async open() {
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = this.keepAliveMs;
    this.sockets = new Set();
    this.server.on('connection', (socket) => {
      socket.on('error', () => {});
      if (!this.isUp) {
        socket.resetAndDestroy();
        return;
      }
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.begin();
  }

  /** Begins a life: it holds and knows nothing of before, and its counts and clock start anew. */
  begin(shape = {}) {
    this.capacity = shape.capacity ?? this.capacity;
    this.labels = shape.labels ?? this.labels;
    this.lives += 1;
    this.born = Date.now();
    this.clockZeroMs = performance.now();
    this.runs = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.highest = new Map();
    this.fence = 0;
    this.leaseEndMs = 0;
    this.sequence = 0;
    this.waiters = new Set();
    this.state = 'ready';
    this.writeEntry();
    this.beat = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
    this.isUp = true;
  }

  /** Ends the life without a word: what runs is gone, and nobody answers. */
  crash() {
    this.isUp = false;
    clearInterval(this.beat);
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ timer, task, run }) => {
      clearTimeout(timer);
      this.note({ what: 'gone', server: this.id, life: this.lives, task, run });
    });
    this.runs.clear();
    this.waiters.forEach((wake) => wake());
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.crash();
    this.server.close();
    this.server.closeAllConnections();
  }

  writeEntry() {
    this.sequence += 1;
    this.store.put(
      `servers/${this.id}`,
      JSON.stringify({
        service: 'pedidos',
        address: this.address,
        zone: this.zone,
        version: 'v1',
        slots: 8,
        state: this.state,
        coldRemainingMs: 0,
        capacity: this.capacity,
        labels: this.labels,
        born: this.born,
        sequence: this.sequence,
      }),
    );
  }

  clock() {
    return Math.floor(performance.now() - this.clockZeroMs);
  }

  async receive(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const life = this.lives;
    if (!this.isUp) return;
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : {};
    const [status, reply] = await this.handle(request, body);
    if (life !== this.lives || !this.isUp || response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ clockMs: this.clock(), born: this.born, ...reply }));
  }

  async handle(request, body) {
    this.calledAtMs = performance.now();
    if ((request.headers['x-guavaspindle-expected-instance'] ?? this.id) !== this.id) {
      return [421, {}];
    }
    const { fencingToken = 0, untilMs } = body;
    if (fencingToken < this.fence) return [409, { reason: 'fence' }];
    this.fence = fencingToken;
    switch (request.url) {
      case '/run-start':
        return this.start(body);
      case '/run-stop':
        this.highest.set(body.task, Math.max(body.runId, this.highest.get(body.task) ?? 0));
        if (this.runs.get(body.task)?.run === body.runId) this.end(body.task, 'stopped');
        return [200, {}];
      case '/hold':
        return this.hold(body);
      default:
        return [404, {}];
    }
  }

  start({ task, runId, specification, untilMs }) {
    this.extend(untilMs);
    const current = this.runs.get(task);
    if (current?.run === runId) return [200, {}];
    if (current || (this.highest.get(task) ?? 0) >= runId) return [409, { reason: 'old' }];
    if (untilMs !== undefined && untilMs <= this.clock()) return [409, { reason: 'late' }];
    const ms = Number(/run=(\d+)/.exec(specification)?.[1] ?? 50);
    const cpu = Number(/cpu=(\d+)/.exec(specification)?.[1] ?? 0);
    const timer = setTimeout(() => this.end(task, 'done'), ms);
    this.runs.set(task, { task, run: runId, ms, cpu, timer, beganMs: performance.now() });
    const usedCpu = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
    this.note({
      what: 'start',
      server: this.id,
      life: this.lives,
      task,
      run: runId,
      specification,
      usedCpu,
      capacityCpu: this.capacity.cpu,
    });
    return [200, {}];
  }

  async hold({ lastSeen = 0, untilMs, waitMs = 0 }) {
    this.extend(untilMs);
    this.ends = this.ends.filter(([sequence]) => sequence > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(MAX_WAIT_MS, waitMs));
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        this.waiters.add(wake);
      });
    }
    const nowMs = performance.now();
    const running = [...this.runs.values()].map(({ task, run, ms, beganMs, cpu }) => [
      task,
      run,
      '',
      Math.min(99, Math.floor((100 * (nowMs - beganMs)) / ms)),
      cpu,
    ]);
    return [200, { running, endedRuns: this.ends.slice(0, 500) }];
  }

  /** Extends the lease of all that runs; it never shortens. */
  extend(untilMs) {
    if (untilMs === undefined) return;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(untilMs, this.clock() + MAX_HOLD_MS));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      [...this.runs.keys()].forEach((task) => this.end(task, 'lapsed'));
    }, this.leaseEndMs - this.clock());
  }

  end(task, how) {
    const { run, timer } = this.runs.get(task);
    clearTimeout(timer);
    this.runs.delete(task);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    this.ends.push([this.nextEnd, task, run, how, '']);
    this.nextEnd += 1;
    this.note({ what: how, server: this.id, life: this.lives, task, run });
    [...this.waiters].forEach((wake) => wake());
  }
}
