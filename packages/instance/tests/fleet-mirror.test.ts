import { createLogger, RingBuffer } from 'bunyan';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { buildServerEntry } from '@guavaspindle/platform-adapter/stand-ins/build-server-entry';
import type { StoreItem } from '@guavaspindle/platform-adapter/store/store-item';
import { FleetMirror } from '../src/store/fleet-mirror';

/** Longer than a missing entry is waited for, in milliseconds. */
const AFTER_GRACE_MS = 3_000;
const ODD_TEXT = buildServerEntry('127.0.0.1:99999');

/** A mirror, the ids of the servers that its listener has been told of, and its log. */
interface TestMirror {
  readonly mirror: FleetMirror;
  readonly adopted: string[];
  readonly dropped: string[];
  readonly lines: RingBuffer;
}

function buildMirror(): TestMirror {
  const lines = new RingBuffer({ limit: 100 });
  const log = createLogger({ name: 'test', streams: [{ type: 'raw', stream: lines }] });
  const mirror = new FleetMirror(systemClock, log);
  const adopted: string[] = [];
  const dropped: string[] = [];
  mirror.addListener({
    adoptServer: ({ id }) => adopted.push(id),
    dropServer: (id) => dropped.push(id),
  });
  return { mirror, adopted, dropped, lines };
}

function buildItem(id: string, text = buildServerEntry('10.1.0.9:80'), revision = 1): StoreItem {
  return { key: `servers/${id}`, text, revision, createdRevision: 1 };
}

describe('FleetMirror', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against one odd entry that hides the entries read with it.
  it('adopts the servers beside an entry that names none, and logs that entry once', () => {
    const { mirror, adopted, lines } = buildMirror();
    const items = [buildItem('odd', ODD_TEXT), buildItem('i-1'), buildItem('i-2')];
    mirror.onSnapshot({ items, revision: 1 });
    mirror.onSnapshot({ items, revision: 1 });
    expect(adopted).toEqual(['i-1', 'i-2']);
    expect(lines.records).toHaveLength(1);
  });

  // Guards against a server that a leader uses although every process that starts now knows nothing of it.
  it('adopts no server whose entry was written and has gone when both are read', () => {
    const { mirror, adopted } = buildMirror();
    mirror.onEvents([
      { kind: 'written', item: buildItem('i-1') },
      { kind: 'written', item: buildItem('i-2') },
      { kind: 'deleted', key: 'servers/i-1', revision: 2 },
    ]);
    expect(adopted).toEqual(['i-2']);
  });

  // Guards against two runs of a task: a leader that does not know all servers must know that it does not.
  it('tells of an entry that cannot be read, until it is readable or gone', () => {
    const { mirror } = buildMirror();
    mirror.onSnapshot({ items: [buildItem('i-1', ODD_TEXT), buildItem('i-2')], revision: 1 });
    expect(mirror.hasUnreadableEntry()).toBe(true);
    mirror.onSnapshot({ items: [buildItem('i-1'), buildItem('i-2')], revision: 1 });
    expect(mirror.hasUnreadableEntry()).toBe(false);
    // The entry of a server that is known: it is used, and asked for its runs, as one whose entry is missing.
    mirror.onSnapshot({ items: [buildItem('i-1', ODD_TEXT, 2), buildItem('i-2')], revision: 2 });
    expect(mirror.hasUnreadableEntry()).toBe(false);
    mirror.onSnapshot({ items: [buildItem('i-3', ODD_TEXT, 3)], revision: 3 });
    expect(mirror.hasUnreadableEntry()).toBe(true);
    mirror.onSnapshot({ items: [], revision: 4 });
    expect(mirror.hasUnreadableEntry()).toBe(false);
  });

  // Guards against a server that is used again because a watch reports what it was before the entries
  // were read for a new leader.
  it('ignores changes that are older than what it has read', () => {
    const { mirror, adopted, dropped } = buildMirror();
    mirror.onSnapshot({
      items: [buildItem('i-1', buildServerEntry('10.1.0.9:81'), 5)],
      revision: 5,
    });
    mirror.onEvents([
      { kind: 'written', item: buildItem('i-1', buildServerEntry('10.1.0.9:80'), 3) },
      { kind: 'deleted', key: 'servers/i-1', revision: 4 },
    ]);
    mirror.onSnapshot({ items: [], revision: 4 });
    jest.advanceTimersByTime(AFTER_GRACE_MS);
    mirror.dropMissing();
    expect({ adopted, dropped }).toEqual({ adopted: ['i-1'], dropped: [] });
  });

  // Guards against heartbeats that reach the leaders, and against changes that are taken for heartbeats.
  it.each<[string, Readonly<Record<string, unknown>>, number]>([
    ['a heartbeat', { sequence: 2, clockMs: 900 }, 1],
    ['the start of a drain', { sequence: 2, state: 'draining' }, 2],
    ['another capacity', { sequence: 2, capacity: { cpu: 1, memMb: 1, gpu: 0 } }, 2],
    ['another life', { sequence: 1, born: 2 }, 2],
  ])('passes on %s only if it changes the server', (_name, changes, expected) => {
    const { mirror, adopted } = buildMirror();
    const text = buildServerEntry('10.1.0.9:80', { clockMs: 100 });
    const changed = buildServerEntry('10.1.0.9:80', { clockMs: 100, ...changes });
    mirror.onSnapshot({ items: [buildItem('i-1', text, 1)], revision: 1 });
    mirror.onEvents([{ kind: 'written', item: buildItem('i-1', changed, 2) }]);
    expect(adopted).toHaveLength(expected);
  });

  // Guards against a server that stays in use, or not, depending on how its overwritten entry was read.
  it.each(['events', 'snapshot'] as const)(
    'drops a server whose entry has become invalid, read by %s, and adopts it again',
    async (source) => {
      const { mirror, adopted, dropped } = buildMirror();
      const apply = (item: StoreItem): void => {
        if (source === 'events') {
          mirror.onEvents([{ kind: 'written', item }]);
        } else {
          mirror.onSnapshot({ items: [item], revision: 2 });
        }
      };
      apply(buildItem('i-1'));
      apply(buildItem('i-1', ODD_TEXT));
      mirror.dropMissing();
      expect(dropped).toEqual([]);
      await jest.advanceTimersByTimeAsync(AFTER_GRACE_MS);
      mirror.dropMissing();
      expect(dropped).toEqual(['i-1']);
      apply(buildItem('i-1'));
      expect(adopted).toEqual(['i-1', 'i-1']);
    },
  );

  // Guards against one listener whose error hides a change from the others.
  it('tells the other listeners of a change on which one throws', () => {
    const { mirror, lines } = buildMirror();
    const later: string[] = [];
    mirror.addListener({
      adoptServer: () => {
        throw new Error('unexpected');
      },
      dropServer() {},
    });
    mirror.addListener({ adoptServer: ({ id }) => later.push(id), dropServer() {} });
    mirror.onEvents(['i-1', 'i-2'].map((id) => ({ kind: 'written', item: buildItem(id) })));
    expect(later).toEqual(['i-1', 'i-2']);
    expect(lines.records).toHaveLength(2);
  });
});
