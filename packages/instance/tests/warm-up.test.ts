import { createServer, type Server } from 'node:http';
import { createLogger } from 'bunyan';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { runWarmUp } from '../src/process/warm-up';

const IP = '127.0.82.1';
const PORT = 7_201;
const ITERATIONS = { jobs: 16, orders: 16, calls: 80 };
/** Number of calls in progress at the same time. */
const GROUP = 8;

/** Builds a clock on which each reading is `stepMs` later than the one before. */
function buildSteppingClock(stepMs: number): Clock {
  let nowMs = 0;
  return {
    ...systemClock,
    now: () => {
      nowMs += stepMs;
      return nowMs;
    },
  };
}

describe('the warm-up of an instance', () => {
  let server: Server;
  let calls: number;

  beforeEach(async () => {
    calls = 0;
    server = createServer((_request, response) => {
      calls += 1;
      response.end('{}');
    });
    await new Promise<void>((resolve) => {
      server.listen(PORT, IP, resolve);
    });
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  // Guards against a warm-up that delays the first callers on a weak machine.
  it.each<[string, Clock, () => boolean, number]>([
    ['runs all calls while nothing else is to be done', systemClock, () => false, ITERATIONS.calls],
    ['ends before the next calls once a caller waits', systemClock, () => calls >= GROUP, GROUP],
    ['begins nothing while a caller waits', systemClock, () => true, 0],
    ['ends after a limited time', buildSteppingClock(4_000), () => false, GROUP],
  ])('%s', async (_name, clock, isTrafficHere, expected) => {
    await runWarmUp({
      clock,
      log: createLogger({ name: 'test', level: 'fatal' }),
      ip: IP,
      callersAddress: `${IP}:${PORT}`,
      iterations: ITERATIONS,
      isTrafficHere,
    });
    expect(calls).toBe(expected);
  });
});
