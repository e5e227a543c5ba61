/* eslint-disable no-await-in-loop -- the checks run one after the other on one clock */
import { createLogger } from 'bunyan';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { PoolLayout } from '@guavaspindle/kernel/layout/pool-layout';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { LayoutPlanner } from '../src/lead/layout-planner';

const CHECK_INTERVAL_MS = 500;
const CHECKS = 20;

/** Checks the layout of a fleet in one domain for some time; returns the layouts that were written. */
async function collectLayouts(servers: number): Promise<readonly PoolLayout[]> {
  const ids = Array.from({ length: servers }, (_unused, index) => `i-${index}` as ServerId);
  const written: PoolLayout[] = [];
  let layout: PoolLayout = new Map();
  const planner = new LayoutPlanner({
    clock: systemClock,
    log: createLogger({ name: 'test', level: 'fatal' }),
    findLayout: () => layout,
    listInstances: () => [{ domain: 'domain-1' as DomainName, cores: 2 }],
    listServers: () => new Map([['domain-1' as DomainName, ids]]),
    isWriter: () => true,
    writeLayout: async (next) => {
      written.push(next);
      layout = next;
    },
  });
  for (let check = 0; check < CHECKS; check += 1) {
    await planner.check();
    await jest.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
  }
  return written;
}

describe('LayoutPlanner', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a layout that is written again and again although nothing is to be divided.
  it.each([
    [0, 0],
    [8, 0],
    [64, 0],
    [100, 1],
  ])('writes for a fleet of %i servers %i times', async (servers, writes) => {
    expect(await collectLayouts(servers)).toHaveLength(writes);
  });
});
