import type { ServiceName } from '../ids/service-name';
import { chooseServer } from './choose-server';
import type { CrashLedger } from './crash-ledger';
import type { EngineJob } from './engine-job';
import type { EngineServer } from './engine-server';
import type { EngineTask } from './engine-task';
import type { LocalityPlacement } from './locality-placement';
import { MAX_CRASHES } from './max-crashes';
import type { PlaceChoice } from './place-choice';
import type { RunIsolation } from './run-isolation';
import type { ServerFleet } from './server-fleet';

/** A task and the server to start it on. */
interface Placement {
  readonly job: EngineJob;
  readonly task: EngineTask;
  readonly server: EngineServer;
  readonly isolation: RunIsolation;
}

/** Share of a service's servers that may be kept for runs that are alone on them. */
const MAX_ALONE_SHARE = 0.1;

/** Returns whether all steps that the task's step depends on are done. */
function isStepReady(job: EngineJob, task: EngineTask): boolean {
  return job.spec.steps[task.step]!.after.every((earlier) => job.remainingByStep[earlier] === 0);
}

/** Decides which waiting tasks start and on which servers. */
export class RunScheduler {
  constructor(
    private readonly fleet: ServerFleet,
    private readonly crashes: CrashLedger,
    private readonly locality: LocalityPlacement | undefined,
  ) {}

  /** Returns whether a run may be started now on any server with this much free CPU capacity. */
  hasFreeCapacity(cpuMilli: number, nowMs: number): boolean {
    for (const server of this.fleet.listServers()) {
      if (server.freeCpuMilli >= cpuMilli && server.canStart(nowMs)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Places waiting tasks one by one; `start` must reserve the resources before it returns.
   *
   * @param ranked - the jobs in the order of starts; not read further once nothing more can start
   * @param smallestDemands - the smallest CPU demand of these jobs by service, in thousandths of a core
   */
  placeTasks(
    ranked: Iterable<{ readonly job: EngineJob }>,
    smallestDemands: ReadonlyMap<ServiceName, number>,
    nowMs: number,
    start: (placement: Placement) => void,
  ): void {
    this.locality?.beginPass(nowMs);
    const smallestUnplacedMilli = new Map<ServiceName, number>();
    const openServices = new Set(smallestDemands.keys());
    for (const { job } of ranked) {
      const hasCrashes = this.crashes.hasRecords(job.spec.id);
      job.tasks.forEach((task) => {
        if (task.state !== 'waiting' || nowMs < task.blockedUntilMs || !isStepReady(job, task)) {
          return;
        }
        if (hasCrashes && this.crashes.isSuspect(task.id)) {
          if (this.crashes.countSuspicions(task.id) < MAX_CRASHES) {
            this.placeSuspectTask(job, task, nowMs, start);
          }
          return;
        }
        const step = job.spec.steps[task.step]!;
        const { service } = job.spec.queue;
        // A demand no smaller than one that did not fit is not tried again in this pass.
        if (step.demand.cpuMilli >= (smallestUnplacedMilli.get(service) ?? Infinity)) {
          return;
        }
        const choice = this.choosePlace(job, task, nowMs);
        if (choice.kind === 'start') {
          start({ job, task, server: choice.server, isolation: 'none' });
        } else if (
          choice.kind === 'none' &&
          step.requiredLabel === undefined &&
          step.maxPerServer === undefined
        ) {
          smallestUnplacedMilli.set(service, step.demand.cpuMilli);
          if (step.demand.cpuMilli <= smallestDemands.get(service)!) {
            openServices.delete(service);
          }
        }
      });
      // A task under which a server crashed is placed by other rules than the demands.
      if (openServices.size === 0 && !this.crashes.hasAnyRecords()) {
        return;
      }
    }
  }

  private choosePlace(job: EngineJob, task: EngineTask, nowMs: number): PlaceChoice {
    const step = job.spec.steps[task.step]!;
    const { service } = job.spec.queue;
    if (this.locality?.isUsed(service, step) === true) {
      return this.locality.choosePlace(job, task, step);
    }
    const servers = this.fleet.listServersOfService(service);
    const server = chooseServer(servers, task, step, nowMs);
    return server === undefined ? { kind: 'none' } : { kind: 'start', server };
  }

  /**
   * Places a task under which a server crashed or fell silent. The next run shows whether the task was at
   * fault, so it never shares a server with another such task, and it is alone on its server if an
   * idle one can be kept for it. A task under which as many servers did so as may crash waits until it is
   * known whether they have.
   */
  private placeSuspectTask(
    job: EngineJob,
    task: EngineTask,
    nowMs: number,
    start: (placement: Placement) => void,
  ): void {
    const step = job.spec.steps[task.step]!;
    const servers = this.fleet.listServersOfService(job.spec.queue.service);
    const alone = servers.filter((server) => server.hasRunOfIsolation('alone')).length;
    if (alone < Math.max(1, servers.length * MAX_ALONE_SHARE)) {
      const idle = servers.filter(({ runs }) => runs.size === 0);
      const server = chooseServer(idle, task, step, nowMs);
      if (server !== undefined) {
        start({ job, task, server, isolation: 'alone' });
        return;
      }
    }
    const apart = servers.filter((server) => !server.hasRunOfIsolation('apart'));
    const server = chooseServer(apart, task, step, nowMs);
    if (server !== undefined) {
      start({ job, task, server, isolation: 'apart' });
    }
  }
}
