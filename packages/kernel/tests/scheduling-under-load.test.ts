import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import { buildKernel } from './fixtures/build-kernel';
import { buildRow } from './fixtures/build-row';
import { buildServer } from './fixtures/build-server';
import { buildSubmission } from './fixtures/build-submission';
import { KernelSimulation } from './fixtures/kernel-simulation';

const SERVERS = [buildServer(1, { slots: 8 }), buildServer(2, { slots: 8 })];
const SIMULATED_MS = 60_000;

/** Builds tasks that run for the given times, with an optional declared run time. */
function buildTasks(runTimesMs: readonly number[], expectedMs?: number) {
  return runTimesMs.map((runMs) => ({
    payloadJson: String(runMs),
    ...(expectedMs === undefined ? {} : { expectedMs }),
  }));
}

describe('scheduling under load', () => {
  it.each([
    ['equal run times', 100, 100],
    ['one caller with tasks four times longer', 50, 200],
  ])(
    'gives callers slot time in proportion to their weights at saturation: %s',
    (_name, lightMs, heavyMs) => {
      const kernel = buildKernel();
      const rows = [
        buildRow({ rowId: 'a', caller: 'light', weight: 1 }),
        buildRow({ rowId: 'b', caller: 'heavy', weight: 3 }),
      ];
      kernel.adoptTable({ revision: 1, rows }, 0);
      kernel.adoptServers(SERVERS, 0);
      const simulation = new KernelSimulation(kernel);
      let number = 0;
      const submit = (caller: string, runMs: number) => {
        // Both callers declare the same run time, whatever the actual one is.
        const tasks = buildTasks(new Array<number>(10).fill(runMs), 100);
        const changes = { caller: caller as CallerName, tasks };
        kernel.submitJob(buildSubmission(`job-${number}`, 10, changes), number, simulation.nowMs);
        number += 1;
      };
      while (simulation.nowMs < SIMULATED_MS) {
        if (simulation.nowMs % 50 === 0) {
          submit('light', lightMs);
          submit('heavy', heavyMs);
        }
        simulation.advanceStep();
      }
      const light = simulation.totals.slotMs.get('light')!;
      const heavy = simulation.totals.slotMs.get('heavy')!;
      expect(heavy / (light + heavy)).toBeGreaterThan(0.75 * 0.95);
      expect(heavy / (light + heavy)).toBeLessThan(0.75 * 1.05);
    },
  );

  it('keeps slots for short tasks while long tasks with another declared run time wait', () => {
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow({ deadlineMs: 600_000 })] }, 0);
    kernel.adoptServers(SERVERS, 0);
    const simulation = new KernelSimulation(kernel);
    const long = buildSubmission('long', 0, {
      tasks: buildTasks(new Array<number>(100).fill(5_000), 5_000),
    });
    kernel.submitJob(long, 0, 0);
    simulation.advanceStep();
    const short = buildSubmission('short', 0, { tasks: buildTasks([20], 20) });
    const decision = kernel.submitJob(short, 1, simulation.nowMs);
    for (let step = 0; step < 6; step += 1) {
      simulation.advanceStep();
    }
    expect(decision).toMatchObject({ type: 'accepted', job: { result: { type: 'complete' } } });
  });

  it('does not refuse work in an idle system because of learned run times', () => {
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow({ deadlineMs: 10_000 })] }, 0);
    kernel.adoptServers(SERVERS, 0);
    const simulation = new KernelSimulation(kernel);
    const slow = buildSubmission('slow', 0, { tasks: buildTasks([5_000, 5_000]) });
    kernel.submitJob(slow, 0, 0);
    while (simulation.nowMs < 6_000) {
      simulation.advanceStep();
    }
    const quick = buildSubmission('quick', 0, { tasks: buildTasks([20]), deadlineMs: 1_000 });
    const decision = kernel.submitJob(quick, 1, simulation.nowMs);
    for (let step = 0; step < 6; step += 1) {
      simulation.advanceStep();
    }
    expect(decision).toMatchObject({ type: 'accepted', job: { result: { type: 'complete' } } });
  });

  it('refuses jobs that cannot end before their deadline, and completes the others', () => {
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow({ deadlineMs: 1_000 })] }, 0);
    kernel.adoptServers(SERVERS, 0);
    const simulation = new KernelSimulation(kernel);
    const decisions = [];
    // Submits four times the capacity of 16 slots for ten seconds.
    let number = 0;
    while (simulation.nowMs < 10_000) {
      if (simulation.nowMs % 25 === 0) {
        const tasks = buildTasks(new Array<number>(16).fill(100), 100);
        const submission = buildSubmission(`job-${number}`, 0, { tasks });
        decisions.push(kernel.submitJob(submission, number, simulation.nowMs));
        number += 1;
      }
      simulation.advanceStep();
    }
    const refused = decisions.filter(({ type }) => type === 'refused');
    const complete = decisions.filter(
      (decision) => decision.type === 'accepted' && decision.job.result?.type === 'complete',
    );
    expect(refused.length).toBeGreaterThan(0);
    // The slots can complete 100 jobs in ten seconds; the target is 95% of that.
    expect(complete.length).toBeGreaterThanOrEqual(95);
    while (simulation.nowMs < 12_000) {
      simulation.advanceStep();
    }
    const tasks = buildTasks([20], 20);
    const after = kernel.submitJob(buildSubmission('after', 0, { tasks }), 9_999, simulation.nowMs);
    for (let step = 0; step < 6; step += 1) {
      simulation.advanceStep();
    }
    expect(after).toMatchObject({ type: 'accepted', job: { result: { type: 'complete' } } });
  });
});

describe('limits divided among dispatchers', () => {
  it.each([
    ['an even limit', 8, 2],
    ['an odd limit', 7, 3],
    ['a limit below the number of dispatchers', 2, 3],
  ])('never add up to more than the limit: %s', (_name, limit, count) => {
    const simulations = Array.from({ length: count }, (_unused, index) => {
      const kernel = buildKernel({ share: { index, count } });
      kernel.adoptTable({ revision: 1, rows: [buildRow({ maxRunning: limit })] }, 0);
      kernel.adoptServers(SERVERS, 0);
      const tasks = buildTasks(new Array<number>(50).fill(200));
      kernel.submitJob(buildSubmission(`job-${index}`, 0, { tasks }), index, 0);
      return new KernelSimulation(kernel);
    });
    let most = 0;
    while (simulations[0]!.nowMs < 3_000) {
      simulations.forEach((simulation) => simulation.advanceStep());
      most = Math.max(
        most,
        simulations.reduce((sum, simulation) => sum + simulation.countRunning(), 0),
      );
    }
    expect(most).toBe(limit);
  });

  it('keep to the rate in every window of one second from the start', () => {
    const rate = 40;
    const count = 2;
    const starts = Array.from({ length: count }, (_unused, index) => {
      const kernel = buildKernel({ share: { index, count } });
      kernel.adoptTable({ revision: 1, rows: [buildRow({ startsPerSecond: rate })] }, 0);
      kernel.adoptServers(SERVERS, 0);
      const tasks = buildTasks(new Array<number>(500).fill(10));
      kernel.submitJob(buildSubmission(`job-${index}`, 0, { tasks }), index, 0);
      const simulation = new KernelSimulation(kernel);
      while (simulation.nowMs < 5_000) {
        simulation.advanceStep();
      }
      return simulation.totals.startedAtMs;
    }).flat();
    starts.forEach((from) => {
      const inSecond = starts.filter((at) => at >= from && at < from + 1_000).length;
      // The bucket may save up the starts of a tenth of a second.
      expect(inSecond).toBeLessThanOrEqual(rate * 1.1 + count);
    });
    expect(starts.length).toBeGreaterThan(rate * 5 * 0.9);
  });
});
