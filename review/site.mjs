/* eslint-disable */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Executor } from './executor.mjs';
import { Store } from './store.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const ZONES = ['oviedo', 'santander', 'gijon'];
const HEARTBEAT_MS = 1500;
const PORTS = { frontend: 8161, control: 8166, readiness: 8167, internal: 7720, metrics: 9464 };

/** Whether all ports of a daemon are free at a loopback address. */
async function isFree(ip) {
  const results = await Promise.all(
    Object.values(PORTS).map(
      (port) =>
        new Promise((done) => {
          const probe = createServer();
          probe.once('error', () => done(false));
          probe.listen(port, ip, () => probe.close(() => done(true)));
        }),
    ),
  );
  return results.every((result) => result);
}

/** A small deployment on loopback addresses: store, executors and daemons as separate processes. */
export class Site {
  constructor({ recordPath, machines = 3 }) {
    this.recordPath = recordPath;
    this.machineCount = machines;
    this.began = performance.now();
    this.wallBegan = Date.now();
    writeFileSync(recordPath, '');
    this.lines = [];
    this.record = (what, fields) => {
      const line = { ms: this.now(), what, ...fields };
      this.lines.push(line);
      appendFileSync(recordPath, `${JSON.stringify(line)}\n`);
    };
    this.store = new Store({ record: this.record });
    this.executors = new Map();
    this.daemons = [];
    this.folder = mkdtempSync(join(tmpdir(), 'guavaspindle-review-'));
    ['SIGINT', 'SIGTERM'].forEach((signal) =>
      process.once(signal, () => {
        void this.close().finally(() => process.exit(2));
      }),
    );
  }

  /** Milliseconds since the beginning of the script. */
  now() {
    return Math.round((performance.now() - this.began) * 10) / 10;
  }

  async open({ executors, cpu }) {
    await this.store.listen();
    this.store.write(
      'op/config',
      JSON.stringify({
        version: 3,
        routes: [
          {
            name: 'q1',
            host: 'nony24.example',
            prefix: '/lohu930/',
            kind: 'unsafe',
            service: 'pedidos',
            timeoutMs: 30000,
            targetDurationMs: 60000,
            maxAttempts: 2,
            stretch: 1.6,
          },
        ],
        services: [{ name: 'pedidos' }],
        limits: { maxBodyBytes: 262144 },
      }),
    );
    for (let index = 0; index < executors; index += 1) await this.addExecutor({ cpu });
    this.heartbeat = setInterval(() => {
      this.executors.forEach((executor) => this.beat(executor));
    }, HEARTBEAT_MS / 10);
    const seed = process.pid % 200;
    for (let index = 0; index < this.machineCount; index += 1) {
      let ip;
      for (let tries = 0; ip === undefined && tries < 50; tries += 1) {
        const candidate = `127.${60 + tries}.${seed}.${index + 11}`;
        if (await isFree(candidate)) ip = candidate;
      }
      if (ip === undefined) throw new Error('no loopback address with free ports');
      const zone = ZONES[index % ZONES.length];
      this.daemons.push({ name: `frontend-${zone}-${index + 1}`, ip, zone, starts: 0 });
    }
    this.daemons.forEach((daemon) => this.startDaemon(daemon));
    await this.waitFor('all daemons are ready', 20000, () => this.areReady(this.daemons));
    // No traffic before the warm-up of a first start is over.
    await pause(9000);
  }

  async areReady(daemons) {
    const states = await Promise.all(
      daemons.map(({ ip }) =>
        this.call({ ip, port: PORTS.readiness, method: 'GET', path: '/ready', timeoutMs: 500 }),
      ),
    );
    return states.every(({ status }) => status === 200);
  }

  async waitFor(what, timeoutMs, condition) {
    const end = performance.now() + timeoutMs;
    for (;;) {
      if (await condition()) return;
      if (performance.now() > end) throw new Error(`time ran out: ${what}`);
      await pause(20);
    }
  }

  async addExecutor({ cpu = 64000, zone } = {}) {
    const number = this.executors.size + 1;
    const executor = new Executor(`dele69${String(number).padStart(2, '0')}`, {
      record: this.record,
      cpu,
      zone: zone ?? ZONES[number % ZONES.length],
      rack: `r1-${Math.ceil(number / 8)}`,
    });
    await executor.listen();
    this.executors.set(executor.id, executor);
    executor.beatAt = performance.now() + Math.random() * HEARTBEAT_MS;
    this.store.write(`servers/${executor.id}`, executor.entry());
    this.record('executor', { executor: executor.id, address: executor.address });
    return executor;
  }

  beat(executor) {
    const { beatAt, sequence, isGone } = executor;
    if (performance.now() < beatAt || isGone) return;
    Object.assign(executor, { beatAt: beatAt + HEARTBEAT_MS, sequence: sequence + 1 });
    this.store.write(`servers/${executor.id}`, executor.entry());
  }

  /** Lets an executor drain and leave: the entry says so, and the process ends once it is empty. */
  async drainExecutor(executor, drainMs = 2000) {
    Object.assign(executor, { state: 'draining' });
    this.store.write(`servers/${executor.id}`, executor.entry());
    this.record('drain', { executor: executor.id });
    await pause(drainMs + 500);
    Object.assign(executor, { isGone: true });
    executor.close();
    this.store.remove(`servers/${executor.id}`);
  }

  startDaemon(daemon) {
    const { name, ip, zone } = daemon;
    const path = join(this.folder, `${name}.toml`);
    writeFileSync(
      path,
      `nodeName = "${name}"
role = "instance"
machineClass = "frontend"
serves = ["frontend"]
ip = "${ip}"
zone = "${zone}"
region = "cantabrico"
internalPortRange = [${PORTS.internal}, ${PORTS.internal + 15}]
seeds = []
bootstrap = ${daemon.starts === 0}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = ${HEARTBEAT_MS}
orders = "invocation"
[zones]
oviedo = "cantabrico"
santander = "cantabrico"
gijon = "cantabrico"
[listen]
frontend = "${ip}:${PORTS.frontend}"
readiness = "${ip}:${PORTS.readiness}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
fileDescriptors = 4100
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
requireFencing = true
leaseMs = 3000
resendMs = 1300
[platform]
address = "${this.store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`,
    );
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    // The command of deploy/system.toml.
    const child = spawn('node', ['--max-old-space-size=200', 'target/instance.js'], {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GUAVASPINDLE_SETTINGS: path },
      stdio: ['ignore', log, log],
    });
    Object.assign(daemon, { child, starts: daemon.starts + 1, hasEnded: false });
    this.record('daemon', { daemon: name, ip, did: 'start' });
    daemon.ended = new Promise((done) => {
      child.once('exit', (code, signal) => {
        daemon.hasEnded = true;
        this.record('daemon', { daemon: name, did: 'end', code, signal });
        done();
      });
    });
  }

  signal(daemon, signal) {
    this.record('daemon', { daemon: daemon.name, did: signal });
    daemon.child.kill(signal);
  }

  /** The daemon that last wrote the leadership to the store under a condition. */
  leader() {
    const [key] = this.store.keys('guavaspindle/leaders/');
    const name = key && JSON.parse(this.store.text(key)).name;
    return this.daemons.find((daemon) => daemon.name === name);
  }

  /** One call over a new connection; status 0 if it breaks or gets no answer. */
  async call({ ip, port = PORTS.frontend, method, path, body, timeoutMs }) {
    return new Promise((done) => {
      let isOver = false;
      const finish = (result) => {
        isOver = true;
        clearTimeout(timer);
        done(result);
      };
      const call = request(
        {
          host: ip,
          port,
          method,
          path,
          agent: false,
          headers: {
            host: 'nony24.example',
            ...(body === undefined ? {} : { 'content-type': 'application/json' }),
            'x-guavaspindle-deadline-ms': String(timeoutMs),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () =>
            finish({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') }),
          );
        },
      );
      const timer = setTimeout(() => {
        call.destroy();
        if (!isOver) finish({ status: 0, text: 'no answer' });
      }, timeoutMs);
      call.on('error', (error) => {
        if (!isOver) finish({ status: 0, text: error.code ?? error.message });
      });
      call.end(body);
    });
  }

  /** A client's call for a job, in the record with its answer. */
  async ask(daemon, method, id, body, timeoutMs) {
    this.record('sent', { method, id, daemon: daemon.name });
    const { status, text } = await this.call({
      ip: daemon.ip,
      method,
      path: `/lohu930/${id}`,
      body: body && JSON.stringify(body),
      timeoutMs,
    });
    this.record('answered', { method, id, daemon: daemon.name, status, text });
    return { status, text, ms: this.now() };
  }

  /** The daemon that wrote the claim whose revision is the fencing token of an order. */
  starter(fence) {
    const claim = this.lines.find(
      ({ what, key, revision }) =>
        what === 'store' && revision === fence && key.startsWith('guavaspindle/leaders/'),
    );
    return claim?.by;
  }

  /** The runs of all tasks as the executors saw them. */
  runs() {
    const runs = [];
    this.lines.forEach(({ what, ms, task, run, executor, how }) => {
      if (what === 'start') runs.push({ task, run, executor, from: ms, to: Infinity, how: '' });
      if (what === 'end') {
        const begun = runs.findLast(
          (other) => other.task === task && other.run === run && other.executor === executor,
        );
        Object.assign(begun, { to: ms, how });
      }
    });
    return runs;
  }

  async close() {
    clearInterval(this.heartbeat);
    this.daemons.forEach(({ child, hasEnded }) => {
      if (child !== undefined && !hasEnded) child.kill('SIGKILL');
    });
    await Promise.all(this.daemons.map(({ ended }) => ended));
    this.executors.forEach((executor) => executor.close());
    this.store.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}
