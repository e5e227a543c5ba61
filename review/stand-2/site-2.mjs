/* eslint-disable */
// A small deployment: instances as processes of their own, started with the command of the deploy file.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const HOST = 'jobs.example';
const LIMIT_MS = 110_000;

export const pause = (ms) => new Promise((done) => setTimeout(done, ms));

/** A record of what was sent, answered and run. */
export class Record {
  lines = [];
  zeroMs = performance.now();

  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }

  atMs() {
    return performance.now() - this.zeroMs;
  }

  note(entry) {
    const line = { ms: Math.round(this.atMs()), ...entry };
    this.lines.push(line);
    appendFileSync(this.path, `${JSON.stringify(line)}\n`);
    return line;
  }
}

/** A path between two parties that can be cut: silently, or with resets and refusals. */
export class Path {
  mode = 'pass';
  pairs = new Set();

  constructor(target) {
    const [host, port] = target.split(':');
    Object.assign(this, { host, port: Number(port) });
  }

  async open() {
    this.server = createServer({ pauseOnConnect: true }, (near) => this.join(near));
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }

  join(near) {
    near.on('error', () => {});
    near.setNoDelay(true);
    if (this.mode === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ host: this.host, port: this.port, noDelay: true });
    const pair = { near, far };
    this.pairs.add(pair);
    far.on('error', () => {});
    const end = () => {
      this.pairs.delete(pair);
      // A reset does not cross a cut.
      if (this.mode === 'pass') {
        near.destroy();
        far.destroy();
      } else {
        pair.isLost = true;
      }
    };
    near.on('close', end);
    far.on('close', end);
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => near.write(chunk));
    if (this.mode === 'pass') {
      near.resume();
    } else {
      far.pause();
      if (this.mode === 'one-way') near.resume();
    }
  }

  setMode(mode) {
    this.mode = mode;
    this.pairs.forEach((pair) => {
      const { near, far } = pair;
      if (mode === 'refuse') {
        near.resetAndDestroy();
        far.resetAndDestroy();
        this.pairs.delete(pair);
      } else if (mode === 'silent') {
        near.pause();
        far.pause();
      } else if (mode === 'one-way') {
        far.pause();
      } else if (pair.isLost) {
        near.destroy();
        far.destroy();
        this.pairs.delete(pair);
      } else {
        near.resume();
        far.resume();
      }
    });
  }

  close() {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }
}

/** An instance of the system, as the deploy file starts it. */
export class Instance {
  constructor(folder, name, zone, ip, ports, storeAddress, isFirst = true) {
    Object.assign(this, { name, zone, ip, ...ports });
    this.peerAddress = `${ip}:${ports.peerPort}`;
    this.settings = join(folder, `${name}.toml`);
    this.log = join(folder, `${name}.log`);
    writeFileSync(
      this.settings,
      `nodeName = "${name}"
role = "instance"
machineClass = "frontend"
serves = ["frontend"]
ip = "${ip}"
zone = "${zone}"
region = "cantabrico"
internalPortRange = [${ports.peerPort}, ${ports.peerPort + 15}]
seeds = []
bootstrap = ${isFirst}
countsTowardTolerance = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "invocation"
[zones]
oviedo = "cantabrico"
santander = "cantabrico"
gijon = "cantabrico"
[listen]
frontend = "${ip}:${ports.callersPort}"
readiness = "${ip}:${ports.readinessPort}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
requireFencing = true
leaseMs = 3000
resendMs = 1300
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`,
    );
  }

  start() {
    const output = openSync(this.log, 'a');
    const child = spawn('node', ['--max-old-space-size=200', 'target/instance.js'], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, GUAVASPINDLE_SETTINGS: this.settings },
      stdio: ['ignore', output, output],
    });
    this.child = child;
    this.exited = new Promise((done) => {
      child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        done();
      });
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async kill() {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  async isReady() {
    const reply = await call(`${this.ip}:${this.readinessPort}`, 'GET', '/ready', undefined, 1_000);
    return reply.status === 200;
  }
}

/** Sends one HTTP request on a connection of its own. Resolves with what the client has seen. */
export function call(address, method, path, body, timeoutMs, headers = {}) {
  return new Promise((done) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = httpRequest(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          host: HOST,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          clearTimeout(timer);
          done({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') });
        });
        response.on('error', (error) => done({ error: error.code ?? error.message }));
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      done({ error: 'no answer in time' });
    }, timeoutMs);
    request.on('error', (error) => {
      clearTimeout(timer);
      done({ error: error.code ?? error.message });
    });
    request.end(text);
  });
}

/** Finds a loopback /24 and ports on it that are free. */
async function findNetwork(count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const base = 20_000 + Math.floor(Math.random() * 20_000);
    const ports = [base, base + 1, base + 2, 9_464];
    const checks = [];
    for (let index = 1; index <= count; index += 1) {
      ports.forEach((port) => checks.push(isFree(`${net}.${index}`, port)));
    }
    if ((await Promise.all(checks)).every(Boolean)) return { net, base };
  }
  throw new Error('no free ports');
}

function isFree(host, port) {
  return new Promise((done) => {
    const probe = createServer();
    probe.once('error', () => done(false));
    probe.listen(port, host, () => probe.close(() => done(true)));
  });
}

/** Opens a deployment; `zones` names the zone of each instance. */
export class Site {
  instances = [];
  paths = [];
  folder = mkdtempSync(join(tmpdir(), 'guavaspindle-review-'));

  constructor(store, zones, backends) {
    Object.assign(this, { store, zones, backends });
  }

  async open() {
    // A script may run for 120 seconds; nothing that it started outlives it.
    this.limit = setTimeout(() => process.exit(2), LIMIT_MS);
    process.on('exit', () => this.instances.forEach(({ child }) => child?.kill('SIGKILL')));
    ['SIGINT', 'SIGTERM'].forEach((name) => process.on(name, () => process.exit(2)));
    const { net, base } = await findNetwork(this.zones.length);
    const ports = { callersPort: base, readinessPort: base + 1, peerPort: base + 2 };
    const ips = this.zones.map((_zone, index) => `${net}.${index + 1}`);
    this.links = ips.map(() => []);
    this.doors = [];
    for (let from = 0; from < ips.length; from += 1) {
      const routes = new Map();
      for (let to = 0; to < ips.length; to += 1) {
        if (to !== from) {
          const path = new Path(`${ips[to]}:${ports.peerPort}`);
          routes.set(`${ips[to]}:${ports.peerPort}`, await path.open());
          path.from = from;
          path.to = to;
          this.paths.push(path);
        }
      }
      for (const backend of this.backends) {
        const path = new Path(backend.address);
        routes.set(backend.address, await path.open());
        path.from = from;
        path.backend = backend;
        this.paths.push(path);
      }
      const door = await this.store.openDoor(routes);
      this.doors.push(door);
      const name = `frontend-${this.zones[from]}-${from + 1}`;
      this.instances.push(
        new Instance(this.folder, name, this.zones[from], ips[from], ports, door.address),
      );
    }
    this.instances.forEach((instance) => instance.start());
  }

  async waitReady(timeoutMs = 30_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const ready = await Promise.all(this.instances.map((instance) => instance.isReady()));
      if (ready.every(Boolean)) return true;
      await pause(200);
    }
    return false;
  }

  /** Cuts a zone off from the others, the store included, or heals the cut. Clients still reach it. */
  setZoneCut(zone, mode) {
    this.paths.forEach((path) => {
      const fromIn = this.zones[path.from] === zone;
      const toIn =
        path.backend === undefined ? this.zones[path.to] === zone : path.backend.zone === zone;
      if (fromIn !== toIn) path.setMode(mode);
    });
    this.doors.forEach((door, index) => {
      if (this.zones[index] === zone) door.setMode(mode);
    });
  }

  /** Cuts one instance off from all others and from the store, or heals the cut. Clients still reach it. */
  setMachineCut(index, mode) {
    this.paths.forEach((path) => {
      if (path.backend === undefined && (path.from === index || path.to === index)) {
        path.setMode(mode);
      }
    });
    this.doors[index].setMode(mode);
  }

  /** The instance that has claimed the leadership last. */
  findLeader() {
    const text = this.store.text('guavaspindle/leaders/all');
    const name = text && JSON.parse(text).name;
    return this.instances.findIndex((instance) => instance.name === name);
  }

  async close() {
    clearTimeout(this.limit);
    await Promise.all(
      this.instances.map(async (instance) => {
        if (instance.exit === undefined) {
          instance.signal('SIGCONT');
          await instance.kill();
        }
      }),
    );
    this.paths.forEach((path) => path.close());
    this.backends.forEach((backend) => backend.close());
    this.store.close();
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The operator's first configuration: one queue. */
export function writeConfiguration(store, version = 1, timeoutMs = 1_500) {
  store.put(
    'op/config',
    JSON.stringify({
      version,
      routes: [
        {
          name: 'r-1',
          host: HOST,
          prefix: '/q/',
          kind: 'unsafe',
          timeoutMs,
          targetDurationMs: 60,
          priority: 0,
          service: 'pedidos',
          maxAttempts: 2,
          stretch: 1.6,
        },
      ],
      services: [{ name: 'pedidos' }],
      limits: { maxBodyBytes: 262_144 },
    }),
  );
}

/** Submits a best-effort job; `steps` as on the wire. */
export function submit(instance, id, specification, steps, deadlineMs) {
  return call(
    `${instance.ip}:${instance.callersPort}`,
    'POST',
    `/q/${id}`,
    { specification, bestEffort: true, steps },
    deadlineMs,
    { 'x-guavaspindle-deadline-ms': String(deadlineMs) },
  );
}

export function cancel(instance, id, timeoutMs) {
  return call(
    `${instance.ip}:${instance.callersPort}`,
    'DELETE',
    `/q/${id}`,
    undefined,
    timeoutMs,
    { 'x-guavaspindle-deadline-ms': String(timeoutMs) },
  );
}

let nextId = 0;
export function newId() {
  nextId += 1;
  return (
    Math.floor(Math.random() * 0xffffffff)
      .toString(16)
      .padStart(8, '0') + nextId.toString(16).padStart(8, '0')
  );
}
