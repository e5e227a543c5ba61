import { readFileSync } from 'node:fs';
import type { DeployedInstance } from '../deployment/deployed-instance';
import { Deployment } from '../deployment/deployment';
import { todaysDeployment } from '../deployment/todays-deployment';
import { buildArrivals } from '../load/build-arrivals';
import { readCpuSeconds } from '../load/read-cpu-seconds';
import { runLoad } from '../load/run-load';
import type { SlopeSeries } from './slope-series';

const SECONDS = 6;
const RUN_MS = 10;
const RATES = [500, 1_000, 2_000];
const TASK_COUNTS = [10, 50, 200];
const FIXED_TASKS = 50;
const FIXED_RATE = 1_000;
const BYTES_PER_MB = 1_048_576;
const KB_LINE = /^VmRSS:\s+(\d+) kB$/m;

const roles = ['gateway', 'dispatcher', 'agent'] as const;

/** Reads a process's resident memory in MB. */
function readMemoryMb(pid: number): number {
  const match = KB_LINE.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return (Number(match?.[1] ?? 0) * 1_024) / BYTES_PER_MB;
}

/** What one run cost, by role. */
interface RunCost {
  readonly corePart: Record<(typeof roles)[number], number>;
  readonly memoryMb: Record<(typeof roles)[number], number>;
}

/** Reads a figure of each role. */
function readRoles(instance: DeployedInstance, read: (pid: number) => number): RunCost['corePart'] {
  return {
    gateway: read(instance.gateway.pid),
    dispatcher: read(instance.dispatcher.pid),
    agent: read(instance.agent.pid),
  };
}

/** Runs a steady load through one instance and reads what it cost. */
async function measureRun(startsPerSecond: number, tasksPerJob: number): Promise<RunCost> {
  const shape = {
    ...todaysDeployment,
    domains: ['oviedo'],
    instancesPerDomain: 1,
    keepStarts: false,
  };
  const slots = shape.serversPerDomain * shape.slotsPerServer;
  const deployment = await Deployment.start(shape);
  try {
    const instance = deployment.instances[0]!;
    const options = {
      seed: 1,
      seconds: SECONDS,
      utilisation: (startsPerSecond * RUN_MS) / 1_000 / slots,
      tasksPerJob,
      shortMs: RUN_MS,
      longPart: 0,
      longFactor: 1,
      crest: 1,
      crestSeconds: 0,
      deadlineMs: 10_000,
    };
    const before = readRoles(instance, readCpuSeconds);
    await runLoad({ deployment, deadlineMs: options.deadlineMs }, buildArrivals(options, slots));
    const after = readRoles(instance, readCpuSeconds);
    const corePart = {
      gateway: (after.gateway - before.gateway) / SECONDS,
      dispatcher: (after.dispatcher - before.dispatcher) / SECONDS,
      agent: (after.agent - before.agent) / SECONDS,
    };
    return { corePart, memoryMb: readRoles(instance, readMemoryMb) };
  } finally {
    await deployment.stop();
  }
}

/** Turns the costs at several sizes into series by role. */
function buildSeries(size: string, sizes: readonly number[], costs: readonly RunCost[]) {
  return roles.flatMap((role): SlopeSeries[] => [
    {
      size,
      figure: `${role}, part of a core`,
      points: sizes.map((value, index) => [value, costs[index]!.corePart[role]]),
    },
    {
      size,
      figure: `${role}, memory MB`,
      points: sizes.map((value, index) => [value, costs[index]!.memoryMb[role]]),
    },
  ]);
}

/** Measures each role's cost against starts a second, and against tasks a job. */
export async function measureStarts(): Promise<SlopeSeries[]> {
  const byRate: RunCost[] = [];
  for (const rate of RATES) {
    // eslint-disable-next-line no-await-in-loop -- runs must not disturb each other
    byRate.push(await measureRun(rate, FIXED_TASKS));
  }
  const byTasks: RunCost[] = [];
  for (const tasks of TASK_COUNTS) {
    // eslint-disable-next-line no-await-in-loop -- runs must not disturb each other
    byTasks.push(await measureRun(FIXED_RATE, tasks));
  }
  const jobs = TASK_COUNTS.map((tasks) => FIXED_RATE / tasks);
  return [
    ...buildSeries(`starts/s (${FIXED_TASKS} tasks a job)`, RATES, byRate),
    ...buildSeries(`jobs/s (${FIXED_RATE} starts/s)`, jobs, byTasks),
  ];
}
