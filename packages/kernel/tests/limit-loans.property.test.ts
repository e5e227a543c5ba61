import * as fc from 'fast-check';
import { buildRow } from './fixtures/build-row';
import { SimulatedLoanNetwork } from './fixtures/simulated-loan-network';

const SEED = 20_261_204;
const SCHEDULES = 500;
const MAX_NODES = 4;
const MAX_DELAY_MS = 700;
/** Starts may burst by this fraction of the rate per second, plus one start per dispatcher. */
const BURST_FRACTION = 0.1;

type Step =
  | { readonly type: 'submit'; readonly node: number; readonly runTimesMs: readonly number[] }
  | { readonly type: 'advance'; readonly steps: number }
  | { readonly type: 'pause'; readonly node: number; readonly forMs: number }
  | { readonly type: 'members'; readonly present: readonly boolean[] };

const nodeArbitrary = fc.nat(MAX_NODES - 1);

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      node: nodeArbitrary,
      runTimesMs: fc.array(fc.constantFrom(5, 40, 200, 900), { minLength: 1, maxLength: 12 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      steps: fc.constantFrom(1, 5, 20, 60, 250),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('pause' as const),
      node: nodeArbitrary,
      forMs: fc.constantFrom(100, 1_500, 4_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('members' as const),
      present: fc.array(fc.boolean(), { minLength: MAX_NODES, maxLength: MAX_NODES }),
    }),
  },
);

/** Delays of messages in milliseconds, used in rotation; undefined means that a message is lost. */
const messageDelaysArbitrary = fc.array(
  fc.option(fc.constantFrom(1, 1, 1, 30, MAX_DELAY_MS), { nil: undefined, freq: 6 }),
  { minLength: 1, maxLength: 20 },
);

/** Runs the steps of a schedule against a network of `count` dispatchers. */
function runSteps(network: SimulatedLoanNetwork, count: number, steps: readonly Step[]): void {
  steps.forEach((step) => {
    switch (step.type) {
      case 'submit':
        network.submitJob(step.node % count, step.runTimesMs);
        return;
      case 'advance':
        for (let left = step.steps; left > 0; left -= 1) {
          network.advanceStep();
        }
        return;
      case 'pause':
        network.pauseNode(step.node % count, step.forMs);
        return;
      case 'members':
        network.setVisiblePeers(step.present);
        return;
      default:
        step satisfies never;
    }
  });
}

/** Builds a network whose messages take their delays from the list in rotation. */
function buildNetwork(
  count: number,
  delaysMs: readonly (number | undefined)[],
): SimulatedLoanNetwork {
  let messageCount = 0;
  return new SimulatedLoanNetwork(count, () => {
    messageCount += 1;
    return delaysMs[messageCount % delaysMs.length];
  });
}

describe('limit loans', () => {
  it('never exceed the limits on running tasks and on the rate of starts', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: MAX_NODES }),
        fc.integer({ min: 1, max: 8 }),
        fc.constantFrom(10, 60, 1_000),
        messageDelaysArbitrary,
        fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }),
        (count, maxRunning, startsPerSecond, delaysMs, steps) => {
          const network = buildNetwork(count, delaysMs);
          const row = buildRow({ maxRunning, startsPerSecond, deadlineMs: 3_000 });
          for (let node = 0; node < count; node += 1) {
            network.adoptTable(node, 1, row);
          }
          runSteps(network, count, steps);
          expect(network.peakRunning).toBeLessThanOrEqual(maxRunning);
          const { startedAtMs } = network;
          const most = startsPerSecond * (1 + BURST_FRACTION) + count;
          startedAtMs.forEach((from) => {
            const inSecond = startedAtMs.filter((at) => at >= from && at < from + 1_000);
            expect(inSecond.length).toBeLessThanOrEqual(most);
          });
        },
      ),
      { seed: SEED, numRuns: SCHEDULES },
    );
  });

  it.each([
    ['maxRunning', { maxRunning: 24 }, 24],
    ['startsPerSecond', { startsPerSecond: 120 }, 120],
  ])(
    'move the limit within a second when all load moves to one dispatcher: %s',
    (_n, cells, most) => {
      const count = 3;
      const network = buildNetwork(count, [1]);
      for (let node = 0; node < count; node += 1) {
        network.adoptTable(node, 1, buildRow({ ...cells, deadlineMs: 3_000 }));
      }
      const tasks = new Array<number>(most).fill(1_000);
      // The load is on all dispatchers first, then only on the last one.
      for (let node = 0; node < count; node += 1) {
        network.submitJob(node, new Array<number>(Math.floor(most / count)).fill(500));
      }
      while (network.nowMs < 1_500) {
        network.advanceStep();
      }
      const before = network.startsByNode[count - 1]!;
      const movedAtMs = network.nowMs;
      network.submitJob(count - 1, [...tasks, ...tasks]);
      while (network.nowMs < movedAtMs + 1_000) {
        network.advanceStep();
      }
      const started = network.startsByNode[count - 1]! - before;
      expect(started).toBeGreaterThanOrEqual(most * 0.9);
    },
  );

  it('let a dispatcher start tasks whose fixed share is zero', () => {
    const network = buildNetwork(3, [1]);
    for (let node = 0; node < 3; node += 1) {
      network.adoptTable(node, 1, buildRow({ maxRunning: 1 }));
    }
    expect(network.submitJob(2, [20])).toBe('accepted');
    while (network.nowMs < 1_000) {
      network.advanceStep();
    }
    expect(network.startsByNode).toEqual([0, 0, 1]);
  });

  it('share a limit of one task between two saturated dispatchers', () => {
    const network = buildNetwork(2, [1]);
    for (let node = 0; node < 2; node += 1) {
      network.adoptTable(node, 1, buildRow({ maxRunning: 1, deadlineMs: 60_000 }));
    }
    for (let node = 0; node < 2; node += 1) {
      network.submitJob(node, new Array<number>(400).fill(100));
    }
    while (network.nowMs < 30_000) {
      network.advanceStep();
    }
    const [first, second] = network.startsByNode as [number, number];
    expect(first + second).toBeGreaterThan(200);
    expect(Math.min(first, second) / (first + second)).toBeGreaterThan(0.2);
    expect(network.peakRunning).toBe(1);
  });

  it('return to the lender when the borrower stays frozen', () => {
    const network = buildNetwork(2, [1]);
    for (let node = 0; node < 2; node += 1) {
      network.adoptTable(node, 1, buildRow({ maxRunning: 4, deadlineMs: 2_000 }));
    }
    network.submitJob(1, new Array<number>(4).fill(1_000));
    while (network.nowMs < 500) {
      network.advanceStep();
    }
    // The lender keeps one of the four units.
    expect(network.startsByNode[1]).toBe(3);
    network.pauseNode(1, 60_000);
    while (network.nowMs < 5_000) {
      network.advanceStep();
    }
    network.submitJob(0, [500, 500]);
    while (network.nowMs < 5_100) {
      network.advanceStep();
    }
    expect(network.startsByNode[0]).toBe(2);
  });
});
