import { Worker } from 'node:worker_threads';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import type { JobSpec } from '@guavaspindle/kernel/engine/job-spec';
import { buildCallersApp } from '@guavaspindle/platform-adapter/callers/build-callers-app';
import { parseConfiguration } from '@guavaspindle/platform-adapter/configuration/parse-configuration';
import { buildConfigurationText } from '@guavaspindle/platform-adapter/stand-ins/build-configuration-text';
import { HttpServer } from '@guavaspindle/runtime/http/http-server';

const IP = '127.0.83.1';
const PORT = 7_201;
/** How long this process stands still, and how long a caller waits for its answer meanwhile. */
const PAUSE_MS = 400;
const CALLER_WAIT_MS = 100;
const SETTLE_MS = 300;

/** A caller in a thread of its own, so that it goes on while this thread stands still. */
const CALLER = `
const { parentPort, workerData } = require('node:worker_threads');
const { connect } = require('node:net');
const { ip, port, request, waitMs } = workerData;
parentPort.once('message', () => {
  const socket = connect(port, ip, () => {
    socket.write(request);
    setTimeout(() => socket.destroy(), waitMs);
  });
  socket.on('data', () => {});
  socket.on('error', () => {});
});
parentPort.postMessage('ready');
`;

function buildRequest(): string {
  const body = JSON.stringify({
    specification: 'run=50',
    bestEffort: true,
    steps: [{ count: 1, cpu: 1_000, memMb: 64, estimatedMs: 50 }],
  });
  return [
    'POST /q/00000000000000a1 HTTP/1.1',
    'host: jobs.example',
    'content-type: application/json',
    'x-guavaspindle-deadline-ms: 8000',
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** Waits on the real clock. */
async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('requests that have waited while the process stood still', () => {
  // Guards against two runs at once: the caller has sent the job again to another instance by then.
  it.each([
    ['are not run if their callers have left', CALLER_WAIT_MS, 0],
    ['are run if their callers wait', 60_000, 1],
  ])('%s', async (_name, waitMs, expected) => {
    const submitted: JobSpec[] = [];
    const configuration = parseConfiguration(buildConfigurationText(3))._unsafeUnwrap();
    const app = buildCallersApp({
      jobLimits: defaultJobLimits,
      findConfiguration: () => configuration,
      runJob: async (spec) => {
        submitted.push(spec);
        return { kind: 'completed' };
      },
      recordCallerGone() {},
      cancelJob: async () => 'not-found',
      countPending: () => 0,
    });
    const server = new HttpServer(app.fetch);
    await server.listen(`${IP}:${PORT}`);
    const caller = new Worker(CALLER, {
      eval: true,
      workerData: { ip: IP, port: PORT, request: buildRequest(), waitMs },
    });
    await new Promise((resolve) => {
      caller.once('message', resolve);
    });
    caller.postMessage('send');
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
    await pause(SETTLE_MS);
    expect(submitted).toHaveLength(expected);
    await caller.terminate();
    server.close();
  });
});
