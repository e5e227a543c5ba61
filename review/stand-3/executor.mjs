/* eslint-disable */
// A stand-in of an executor, after PROTOCOL.md, "Running tasks" and "Service discovery". It doesn't guard its
// capacity (`admissionCheck` false). A task runs as long as `run=MS` in its specification says.
import { createServer } from 'node:http';
import { once } from 'node:events';

const MAX_HOLD_MS = 1000;
const HEARTBEAT_MS = 1500;

export class Executor {
  /** @param book - told of starts and ends: recordStart(executor, run), recordEnd(executor, run, how) */
  constructor({
    id,
    store,
    zone,
    service = 'pedidos',
    rack = 'r1-1',
    kind = 'a',
    cpu = 64000,
    memMb = 262144,
    book,
    log,
  }) {
    Object.assign(this, { id, store, zone, service, rack, kind, cpu, memMb, book, log });
    this.port = 0;
    this.isUp = false;
    this.state = 'ready';
  }

  /** Begins a life: empty, without a fencing token, its counts new. Its entry is written before it listens. */
  async start(changes = {}) {
    Object.assign(this, changes);
    this.born = Date.now();
    this.zeroMs = performance.now() - 1000;
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.token = 0;
    this.leaseEndMs = 0;
    this.waiters = new Set();
    this.sockets = new Set();
    this.sequence = 0;
    this.isUp = true;
    if (this.port !== 0) {
      this.writeEntry();
    }
    this.server = createServer((request, response) => this.read(request, response));
    this.server.keepAliveTimeout = 0;
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.listen(this.port, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    if (this.sequence === 0) {
      this.writeEntry();
    }
    this.beat = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
    this.log(
      'executor',
      `${this.id} starts a life: cpu ${this.cpu}, kind ${this.kind}, born ${this.born}`,
    );
  }

  /** Ends the life at once; what runs on it ends. */
  async crash() {
    this.isUp = false;
    clearInterval(this.beat);
    clearTimeout(this.leaseTimer);
    this.log('executor', `${this.id} crashes with ${this.runs.size} runs`);
    [...this.runs.values()].forEach((run) => {
      clearTimeout(run.timer);
      this.book.recordEnd(this, run, 'crashed');
    });
    this.runs.clear();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.server.close();
    await once(this.server, 'close').catch(() => {});
  }

  close() {
    clearTimeout(this.expiry);
    clearInterval(this.beat);
    clearTimeout(this.leaseTimer);
    this.runs?.forEach(({ timer }) => clearTimeout(timer));
    this.server?.close();
    this.server?.closeAllConnections();
  }

  get usedCpu() {
    return [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  }

  now() {
    return performance.now() - this.zeroMs;
  }

  /** Waits until so long after a heartbeat. */
  async waitForBeat(afterMs) {
    const { sequence } = this;
    while (this.sequence === sequence) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await new Promise((resolve) => setTimeout(resolve, afterMs));
  }

  /** Cuts the executor off from the store alone; its entry expires after three heartbeat intervals of silence. */
  async cutFromStore(forMs) {
    this.isCutFromStore = true;
    this.log('fault', `${this.id} is cut off from the store for ${forMs} ms`);
    await new Promise((resolve) => setTimeout(resolve, forMs));
    this.isCutFromStore = false;
    this.log('fault', `${this.id} reaches the store again`);
  }

  writeEntry() {
    if (this.isCutFromStore) {
      return;
    }
    clearTimeout(this.expiry);
    this.expiry = setTimeout(() => {
      this.store.delete(`servers/${this.id}`);
      this.log('store', `the entry of ${this.id} expires`);
    }, 3 * HEARTBEAT_MS);
    this.sequence += 1;
    this.store.writeText(
      `servers/${this.id}`,
      JSON.stringify({
        service: this.service,
        address: this.address ?? `127.0.0.1:${this.port}`,
        zone: this.zone,
        version: 'v1',
        slots: 8,
        state: this.state,
        coldRemainingMs: 0,
        capacity: { cpu: this.cpu, memMb: this.memMb, gpu: 0 },
        labels: [this.kind, this.rack],
        born: this.born,
        clockMs: Math.floor(this.now()),
        sequence: this.sequence,
      }),
    );
  }

  read(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', async () => {
      const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
      const reply = await this.handle(request, body);
      if (!response.destroyed) {
        response.writeHead(reply[0], { 'content-type': 'application/json' });
        response.end(JSON.stringify(reply[1]));
      }
    });
  }

  reply(status, body = {}) {
    return [status, { clockMs: Math.floor(this.now()), born: this.born, ...body }];
  }

  async handle(request, body) {
    const expected = request.headers['x-guavaspindle-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      return this.reply(421);
    }
    const token = body.fencingToken ?? 0;
    if (token < this.token) {
      this.book.recordFenced?.(this, request.url, body);
      return this.reply(409, { reason: 'fence' });
    }
    if (token > this.token) {
      this.log('executor', `${this.id} sees token ${token} with ${request.url}`);
    }
    this.token = token;
    switch (request.url) {
      case '/run-start':
        return this.startRun(body);
      case '/run-stop':
        return this.stopRun(body);
      case '/hold':
        return this.hold(body);
      case '/health':
        return this.reply(200);
      default:
        return this.reply(404);
    }
  }

  extend(untilMs) {
    const nowMs = this.now();
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(untilMs, nowMs + MAX_HOLD_MS));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.values()].forEach((run) => this.endRun(run, 'lapsed')),
      Math.max(0, this.leaseEndMs - nowMs),
    );
  }

  startRun({ task, runId, specification, untilMs, fencingToken }) {
    if (typeof task !== 'string' || typeof runId !== 'number') {
      return this.reply(400);
    }
    if (this.runs.get(task)?.run === runId) {
      return this.reply(200);
    }
    if (untilMs <= this.now()) {
      return this.reply(409, { reason: 'late' });
    }
    this.extend(untilMs);
    if ((this.highest.get(task) ?? 0) >= runId || this.runs.has(task)) {
      return this.reply(409, { reason: 'old' });
    }
    this.highest.set(task, runId);
    const run = {
      task,
      run: runId,
      specification,
      token: fencingToken,
      cpu: this.book.findCpu(task),
      startedMs: performance.now(),
      durationMs: Number(/run=(\d+)/.exec(specification)?.[1] ?? 50),
    };
    run.timer = setTimeout(() => this.endRun(run, 'done'), run.durationMs);
    this.runs.set(task, run);
    this.book.recordStart(this, run);
    return this.reply(200);
  }

  stopRun({ task, runId }) {
    this.book.recordStop?.(this, task, runId);
    this.highest.set(task, Math.max(runId, this.highest.get(task) ?? 0));
    const run = this.runs.get(task);
    if (run !== undefined && run.run <= runId) {
      this.endRun(run, 'stopped');
    }
    return this.reply(200);
  }

  async hold({ lastSeen = 0, untilMs, waitMs = 0 }) {
    if (untilMs !== undefined) {
      this.extend(untilMs);
    }
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(2000, waitMs));
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const nowMs = performance.now();
    return this.reply(200, {
      running: [...this.runs.values()].map(({ task, run, startedMs, durationMs, cpu }) => [
        task,
        run,
        '',
        Math.min(100, Math.floor((100 * (nowMs - startedMs)) / durationMs)),
        cpu,
      ]),
      endedRuns: this.ends.slice(0, 500),
    });
  }

  endRun(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.ends.push([this.nextEnd, run.task, run.run, how, '']);
    this.nextEnd += 1;
    this.book.recordEnd(this, run, how);
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
  }
}
