import type { NetworkAddress } from '@guavaspindle/kernel/address/network-address';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import { listParts } from '@guavaspindle/kernel/layout/list-parts';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { PartServers } from '../src/lead/part-servers';
import { FleetMemory } from '../src/store/fleet-memory';
import { buildServerReport } from './fixtures/build-server-report';

const PART = listParts(new Map())[0]!;
const SERVER = buildServerReport(0);
const MOVED = { ...SERVER, address: '127.0.0.1:9' as NetworkAddress };
const RETENTION_MS = 60_000;

/** Builds the servers of a part that an instance knows, with open jobs there or without. */
function buildServers(hasJobs = true): {
  memory: FleetMemory;
  servers: PartServers;
  hidden: string[];
} {
  const memory = new FleetMemory(systemClock);
  const hidden: string[] = [];
  const entry = {
    hasJobsAt: () => hasJobs,
    recordHiddenRuns(part: string) {
      hidden.push(part);
    },
  };
  return { memory, servers: new PartServers(PART, memory, entry), hidden };
}

describe('the servers that an instance remembers for the next leader', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a server that is forgotten while the leader may still have runs there.
  it('are passed on without an entry until the leader settles them', () => {
    const { memory, servers } = buildServers();
    memory.adoptServer(SERVER);
    memory.dropServer(SERVER.id);
    expect(servers.exchangeServers([])).toEqual([SERVER]);
    expect(servers.exchangeServers([SERVER])).toEqual([]);
    memory.settleServers([SERVER.id]);
    expect(servers.exchangeServers([])).toEqual([]);
  });

  it('include those that only the leader still knew when the link opened', () => {
    const { servers } = buildServers();
    const digest = servers.computeDigest();
    expect(servers.exchangeServers([SERVER])).toEqual([]);
    expect(servers.computeDigest()).not.toBe(digest);
    expect(servers.exchangeServers([])).toEqual([SERVER]);
  });

  // Guards against a settlement by one leader that hides the runs of the next one.
  it('do not count as settled by a leader that has been replaced since', () => {
    const { memory, servers } = buildServers();
    memory.adoptServer(SERVER);
    memory.settleServers([SERVER.id]);
    servers.computeDigest();
    memory.dropServer(SERVER.id);
    expect(servers.exchangeServers([])).toEqual([SERVER]);
    memory.adoptServer(SERVER);
    memory.settleServers([SERVER.id]);
    memory.dropServer(SERVER.id);
    expect(servers.exchangeServers([])).toEqual([]);
  });

  // Guards against runs at an address that no entry names any more.
  it('make all jobs wait if runs may be where the entry of a server pointed before', () => {
    const { memory, servers, hidden } = buildServers();
    memory.adoptServer(SERVER);
    memory.adoptServer(MOVED);
    servers.exchangeServers([MOVED]);
    expect(hidden).toEqual([PART.id]);
    memory.settleServers([SERVER.id]);
    expect(servers.exchangeServers([MOVED])).toEqual([]);
    expect(hidden).toEqual([PART.id]);
  });

  // Guards against callers who wait at a take-over for servers that left long ago.
  it.each([
    ['an instance without jobs there', false, 0],
    ['an instance that has heard nothing of them for long', true, RETENTION_MS + 1],
  ])('are forgotten by %s', (_name, hasJobs, afterMs) => {
    const { memory, servers } = buildServers(hasJobs);
    memory.adoptServer(SERVER);
    memory.adoptServer({ ...buildServerReport(1), id: 'present' as ServerId });
    memory.dropServer(SERVER.id);
    jest.advanceTimersByTime(afterMs);
    servers.computeDigest();
    expect(servers.exchangeServers([]).map(({ id }) => id)).toEqual(['present']);
  });
});
