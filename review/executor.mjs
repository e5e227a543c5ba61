/* eslint-disable */
import { once } from 'node:events';
import { createServer } from 'node:http';

const MAX_HOLD_MS = 1000;
const MAX_ENDS = 500;

/** An executor as PROTOCOL.md describes it: leases, fencing tokens, a list of ends. */
export class Executor {
  constructor(id, { record, host = '127.0.0.1', zone, cpu = 64000, rack = 'r1-1' }) {
    Object.assign(this, { id, record, host, zone, cpu, rack });
    this.born = Date.now();
    this.bornAt = performance.now();
    this.sequence = 1;
    this.state = 'ready';
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.fence = 0;
    this.leaseEndsAt = 0;
    this.waiters = new Set();
    this.server = createServer((request, response) => this.accept(request, response));
    this.server.keepAliveTimeout = 60000;
  }

  async listen() {
    this.server.listen(0, this.host);
    await once(this.server, 'listening');
    this.address = `${this.host}:${this.server.address().port}`;
  }

  /** The entry that the executor writes to the platform's store. */
  entry() {
    return JSON.stringify({
      service: 'pedidos',
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      sequence: this.sequence,
      born: this.born,
      capacity: { cpu: this.cpu, memMb: 262144 },
      labels: ['a', this.rack],
    });
  }

  close() {
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.runs.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  accept(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const reply = (status, body) => {
        if (response.destroyed) return;
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify({ clockMs: this.clock(), born: this.born, ...body }));
      };
      const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
      const expected = request.headers['x-guavaspindle-expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        reply(421, {});
        return;
      }
      if ((body.fencingToken ?? 0) < this.fence) {
        reply(409, { reason: 'fence' });
        return;
      }
      this.fence = body.fencingToken ?? 0;
      if (request.url === '/run-start') this.start(body, reply);
      else if (request.url === '/run-stop') this.stop(body, reply);
      else if (request.url === '/hold') this.hold(body, reply);
      else reply(404, {});
    });
  }

  start(body, reply) {
    const { task, runId, specification, untilMs } = body;
    this.extend(untilMs);
    const current = this.runs.get(task);
    if (current?.run === runId) {
      reply(200, {});
      return;
    }
    if (current !== undefined || (this.highest.get(task) ?? 0) >= runId) {
      reply(409, { reason: 'old' });
      return;
    }
    if (untilMs <= this.clock()) {
      reply(409, { reason: 'late' });
      return;
    }
    const runMs = Number(/run=(\d+)/.exec(specification)?.[1] ?? 50);
    const timer = setTimeout(() => this.end(task, 'done'), runMs);
    this.runs.set(task, { run: runId, startedAt: performance.now(), runMs, timer });
    this.record('start', { task, run: runId, executor: this.id, fence: body.fencingToken });
    reply(200, {});
  }

  stop({ task, runId }, reply) {
    this.highest.set(task, Math.max(runId, this.highest.get(task) ?? 0));
    if (this.runs.get(task)?.run === runId) this.end(task, 'stopped');
    reply(200, {});
  }

  hold({ lastSeen = 0, untilMs, waitMs = 0 }, reply) {
    this.extend(untilMs);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    const answer = () => {
      const now = performance.now();
      const running = [...this.runs].map(([task, { run, startedAt, runMs }]) => [
        task,
        run,
        '',
        Math.min(100, Math.floor((100 * (now - startedAt)) / runMs)),
        0,
      ]);
      reply(200, { running, endedRuns: this.ends.slice(0, MAX_ENDS) });
    };
    if (this.ends.length > 0 || waitMs === 0) {
      answer();
      return;
    }
    const waiter = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
      answer();
    };
    const timer = setTimeout(waiter, waitMs);
    this.waiters.add(waiter);
  }

  end(task, how) {
    const { run, timer } = this.runs.get(task);
    clearTimeout(timer);
    this.runs.delete(task);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    this.record('end', { task, run, executor: this.id, how });
    this.ends.push([this.nextEnd, task, run, how, '']);
    this.nextEnd += 1;
    [...this.waiters].forEach((waiter) => waiter());
  }

  /** A lease never gets shorter, and a longer one is cut to the maximum. */
  extend(untilMs) {
    if (untilMs === undefined) return;
    const now = this.clock();
    this.leaseEndsAt = Math.max(this.leaseEndsAt, Math.min(untilMs, now + MAX_HOLD_MS));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.keys()].forEach((task) => this.end(task, 'lapsed')),
      this.leaseEndsAt - now,
    );
  }
}
