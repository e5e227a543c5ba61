import { JobEngine } from '../src/engine/job-engine';
import type { CrashRecord } from '../src/engine/crash-record';
import type { EngineSubmission } from '../src/engine/engine-submission';
import type { DomainName } from '../src/ids/domain-name';
import type { InstanceName } from '../src/ids/instance-name';
import type { JobId } from '../src/ids/job-id';
import type { QueueName } from '../src/ids/queue-name';
import type { ServerId } from '../src/ids/server-id';
import type { ServiceName } from '../src/ids/service-name';
import type { TaskId } from '../src/ids/task-id';

const SERVICE = 'service' as ServiceName;
const TASK_CPU_MILLI = 20_000;
const SERVER_CPU_MILLI = 64_000;

/** Builds an engine with usable servers that run three tasks each. */
function buildEngine(servers: number): JobEngine {
  const engine = new JobEngine();
  for (let index = 0; index < servers; index += 1) {
    engine.fleet.registerServer({
      id: `server-${index}` as ServerId,
      service: SERVICE,
      domain: 'domain-1' as DomainName,
      address: `127.0.0.1:${index + 1}`,
      bornMs: 1,
      capacity: { cpuMilli: SERVER_CPU_MILLI, memoryMb: 1_024, gpus: 0 },
      labels: [],
      isDraining: false,
    }).state = 'usable';
  }
  return engine;
}

/** Builds a job with one task, under which this many servers have fallen silent. */
function buildJob(number: number, silences: number): EngineSubmission {
  const id = number.toString(16).padStart(16, '0') as JobId;
  const crashes = Array.from({ length: silences }, (_unused, index): CrashRecord => ({
    task: `${id}.0.0.0` as TaskId,
    serverId: `gone-${index}` as ServerId,
    serverStartedAtMs: 1,
    isConfirmed: false,
  }));
  return {
    owner: 'entry-1' as InstanceName,
    ageMs: 0,
    doneTasks: new Set(),
    isResumed: false,
    priorRunsExpireInMs: 0,
    mayRunOnUnknownServers: false,
    isMoved: false,
    crashes,
    spec: {
      id,
      specification: '',
      queue: {
        name: 'queue' as QueueName,
        service: SERVICE,
        priority: 0,
        maxAttempts: 2,
        stretch: 10,
        targetMs: 5_000,
      },
      steps: [
        {
          taskCount: 1,
          demand: { cpuMilli: TASK_CPU_MILLI, memoryMb: 10, gpus: 0 },
          estimatedMs: 50,
          after: [],
          requiredLabel: undefined,
          preferredRack: undefined,
          maxPerServer: undefined,
        },
      ],
    },
  };
}

/** Submits jobs one after the other and counts the runs on each server, in descending order. */
function countRuns(engine: JobEngine, silencesByJob: readonly number[]): number[] {
  silencesByJob.forEach((silences, index) => {
    engine.submitJob(buildJob(index + 1, silences), 0);
    engine.schedule(0);
  });
  return [...engine.fleet.listServers()].map(({ runs }) => runs.size).sort((a, b) => b - a);
}

describe('JobEngine with tasks under which servers fell silent', () => {
  // Guards against tasks that are blamed twice because they run beside the one at fault again.
  it.each<[string, number, number[], number[]]>([
    ['packs tasks of which nothing is known', 3, [0, 0, 0], [3, 0, 0]],
    ['leaves such a task alone on its server', 3, [1, 0, 0], [2, 1, 0]],
    ['puts no such task beside others if a server is idle', 3, [0, 0, 1], [2, 1, 0]],
    ['puts it beside others if none is idle', 1, [0, 1], [2]],
    ['never puts two such tasks on one server', 1, [0, 1, 1], [2]],
    ['keeps one server in ten for them, and at least one', 3, [1, 1, 0, 0], [3, 1, 0]],
    ['starts none under which two servers fell silent', 3, [2, 0], [1, 0, 0]],
  ])('%s', (_name, servers, silencesByJob, runs) => {
    expect(countRuns(buildEngine(servers), silencesByJob)).toEqual(runs);
  });
});
