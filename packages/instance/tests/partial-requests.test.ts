import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import { buildCallersApp } from '@guavaspindle/platform-adapter/callers/build-callers-app';
import { parseConfiguration } from '@guavaspindle/platform-adapter/configuration/parse-configuration';
import { buildConfigurationText } from '@guavaspindle/platform-adapter/stand-ins/build-configuration-text';
import { HttpServer } from '@guavaspindle/runtime/http/http-server';
import { RequestTracker } from '@guavaspindle/runtime/http/request-tracker';
import { RawCaller } from '@guavaspindle/stand-ins/http/raw-caller';

const IP = '127.0.89.7';
const PORT = 7_212;
const STEP_MS = 60;
const JOB = JSON.stringify({
  specification: 'run=50',
  bestEffort: true,
  steps: [{ count: 1, cpu: 1_000, memMb: 64, estimatedMs: 50 }],
});

/** Waits on the real clock. */
async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function buildHead(path: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: ${JOB.length}\r\n\r\n`;
}

describe('the end of a shutdown', () => {
  // Guards against "not run" as the answer to a request that has run, of a caller whose next request is half read.
  it('does not put the refusal of a partial request before the answer to the one before it', async () => {
    const configuration = parseConfiguration(buildConfigurationText(3))._unsafeUnwrap();
    let endWait = (_outcome: JobOutcome): void => {};
    const app = buildCallersApp({
      jobLimits: defaultJobLimits,
      findConfiguration: () => configuration,
      runJob: async () =>
        new Promise((resolve) => {
          endWait = resolve;
        }),
      recordCallerGone() {},
      cancelJob: async () => 'cancelled',
      countPending: () => 0,
    });
    const tracker = new RequestTracker(systemClock, () => {});
    const server = new HttpServer(app.fetch, { tracker });
    await server.listen(`${IP}:${PORT}`);
    const caller = await RawCaller.open(IP, PORT);
    caller.send(buildHead('/q/00000000000000a1') + JOB + buildHead('/q/00000000000000a2'));
    await pause(STEP_MS);
    server.beginClosing();
    // As at the end of a shutdown: all callers are answered, then partial requests are refused.
    endWait({ kind: 'unknown', reason: 'shutdown' });
    server.refusePartialRequests();
    await pause(STEP_MS);
    caller.close();
    server.close();
    expect(caller.answers.map(({ status }) => status)).toEqual([502, 503]);
  });
});
