import type { ServiceName } from '../ids/service-name';
import { CapacityPlan } from './capacity-plan';
import { computeStepDeadlineMs } from './compute-step-deadline';
import type { DeclinedStart } from './declined-start';
import type { EngineJob } from './engine-job';
import type { EngineRun } from './engine-run';
import type { EngineServer } from './engine-server';
import type { EngineTask } from './engine-task';
import { isStepAllowed } from './is-step-allowed';
import { isWaitShorter } from './is-wait-shorter';
import type { LocalityCounts } from './locality-counts';
import type { LocalityOptions } from './locality-options';
import type { LocalityReport } from './locality-report';
import type { PlaceChoice } from './place-choice';
import { PlaceRunTimeEstimator } from './place-run-time-estimator';
import type { Resources } from './resources';
import type { ServerFleet } from './server-fleet';
import type { StepRunTimeEstimator } from './step-run-time-estimator';
import type { StepSpec } from './step-spec';
import { USEFUL_TIME_FACTOR } from './useful-time-factor';
import type { WaitRule } from './wait-rule';

/** Run times that differ by less than this share are equal; best fit decides between them. */
const EQUAL_SHARE = 0.02;

/** A server on which a task can start, or could once capacity is free. */
interface Place {
  readonly server: EngineServer;
  readonly runMs: number;
  readonly isRemote: boolean;
}

/** A better place than those that are free, and when it is expected to become free. */
interface BetterPlace {
  readonly server: EngineServer;
  readonly startMs: number;
  readonly runMs: number;
}

/** Run times of a step by kind of server, in milliseconds. */
interface PassEstimates {
  readonly near: Map<string, number>;
  readonly remote: Map<string, number>;
}

const NO_COUNTS: LocalityCounts = {
  waitedTasks: 0,
  placesGivenUp: 0,
  expectedGainMs: 0,
  gainMs: 0,
  lossMs: 0,
};

/** Returns whether a server lies outside the rack that holds the data of a step. */
function isRemotePlace({ report }: EngineServer, { preferredRack }: StepSpec): boolean {
  return preferredRack !== undefined && !report.labels.includes(preferredRack);
}

/** Returns whether the demand fits on a server without any runs. */
function fitsCapacity({ report: { capacity } }: EngineServer, demand: Resources): boolean {
  return (
    demand.cpuMilli <= capacity.cpuMilli &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.gpus <= capacity.gpus
  );
}

/**
 * Places tasks by expected end, and lets them wait for a better place (their rack, or a faster kind of
 * server) while they are expected to end earlier there.
 */
export class LocalityPlacement {
  private readonly placeRunTimes: PlaceRunTimeEstimator;

  private readonly waitRule: WaitRule;

  /** Expected use of servers in this pass, with the capacity that waiting tasks have reserved. */
  private plans = new Map<EngineServer, CapacityPlan>();

  /** Estimates of this pass by queue and step. */
  private estimates = new Map<string, PassEstimates>();

  private unequalServices = new Map<ServiceName, boolean>();

  private nowMs = 0;

  private counts = NO_COUNTS;

  private lastWait: DeclinedStart | undefined;

  constructor(
    private readonly fleet: ServerFleet,
    private readonly runTimes: StepRunTimeEstimator,
    { remoteFactor, waitRule = isWaitShorter }: LocalityOptions,
  ) {
    this.placeRunTimes = new PlaceRunTimeEstimator(remoteFactor);
    this.waitRule = waitRule;
  }

  /** Begins a scheduling pass. */
  beginPass(nowMs: number): void {
    this.nowMs = nowMs;
    this.plans = new Map();
    this.estimates = new Map();
    this.unequalServices = new Map();
  }

  /** Returns whether places differ for a step: its jobs name a rack, or servers differ in kind. */
  isUsed(service: ServiceName, step: StepSpec): boolean {
    if (step.preferredRack !== undefined) {
      return true;
    }
    let isUnequal = this.unequalServices.get(service);
    if (isUnequal === undefined) {
      const servers = this.fleet.listServersOfService(service);
      isUnequal = servers.some(({ report }) => report.kind !== servers[0]!.report.kind);
      this.unequalServices.set(service, isUnequal);
    }
    return isUnequal;
  }

  /** Chooses the place of a task; the caller reports a start by `recordStart`. */
  choosePlace(job: EngineJob, task: EngineTask, step: StepSpec): PlaceChoice {
    const estimate = this.buildEstimate(job, task, step);
    const servers = this.fleet.listServersOfService(job.spec.queue.service);
    const deadlineMs = computeStepDeadlineMs(job, task.step, this.runTimes);
    const place = this.findBestNow(servers, task, step, estimate, deadlineMs);
    if (place === undefined) {
      return { kind: 'none' };
    }
    const isSafe = !place.isRemote && this.nowMs + place.runMs <= deadlineMs;
    const better =
      isSafe || task.wait?.isGivenUp === true
        ? undefined
        : this.findBetterPlace(servers, task, step, estimate, place);
    if (better !== undefined && this.isWorthWaiting(job, task, place, better, deadlineMs)) {
      this.getPlan(better.server).holdCapacity(better.startMs, better.runMs, step.demand.cpuMilli);
      return { kind: 'wait' };
    }
    return { kind: 'start', server: place.server };
  }

  /** Records a start in this pass, also one on a server that was chosen in another way. */
  recordStart(server: EngineServer, run: EngineRun, task: EngineTask): void {
    this.plans.get(server)?.holdCapacity(run.startedAtMs, run.expectedMs, run.demand.cpuMilli);
    const { wait } = task;
    if (wait !== undefined && run.startedAtMs + run.expectedMs >= wait.declinedEndMs) {
      this.addCounts({ placesGivenUp: 1 });
    }
  }

  /** Estimates the run time of a task on a server, in milliseconds. */
  estimateRunMs(job: EngineJob, task: EngineTask, server: EngineServer): number {
    return this.buildEstimate(job, task, job.spec.steps[task.step]!)(server);
  }

  /**
   * Records a completed run.
   *
   * @returns the time that the run would have taken near its data, in milliseconds
   */
  recordRun(
    job: EngineJob,
    task: EngineTask,
    server: EngineServer,
    run: EngineRun,
    nowMs: number,
  ): number {
    const step = job.spec.steps[task.step]!;
    const { name } = job.spec.queue;
    const durationMs = nowMs - run.startedAtMs;
    if (run.isAdopted === true) {
      return durationMs;
    }
    const isRemote = isRemotePlace(server, step);
    const { kind = '' } = server.report;
    const estimate = (isRemoteRun: boolean): number =>
      this.placeRunTimes.estimateRunMs(name, task.step, kind, isRemoteRun, step.estimatedMs);
    const expectedMs = estimate(isRemote);
    const nearMs = isRemote ? (durationMs * estimate(false)) / expectedMs : durationMs;
    server.runRatios.recordRatio(durationMs / expectedMs, nowMs);
    this.placeRunTimes.recordRun(name, task.step, kind, isRemote, durationMs);
    const { wait } = task;
    if (wait !== undefined) {
      const gainMs = wait.declinedEndMs - nowMs;
      this.addCounts({
        expectedGainMs: wait.declinedEndMs - wait.expectedEndMs,
        gainMs: Math.max(0, gainMs),
        lossMs: Math.max(0, -gainMs),
      });
      task.wait = undefined;
    }
    return nearMs;
  }

  /** Returns what happened since the last call. */
  takeReport(): LocalityReport {
    const report = { counts: this.counts, lastWait: this.lastWait };
    this.counts = NO_COUNTS;
    this.lastWait = undefined;
    return report;
  }

  /** Returns the estimates of a step by kind that are known in this pass. */
  private getPassEstimates(queue: string, step: number): PassEstimates {
    const key = `${queue}/${step}`;
    const known = this.estimates.get(key);
    if (known !== undefined) {
      return known;
    }
    const added = { near: new Map<string, number>(), remote: new Map<string, number>() };
    // Jobs declare different run times, which count until a run has completed.
    if (this.placeRunTimes.hasRuns(queue, step)) {
      this.estimates.set(key, added);
    }
    return added;
  }

  /** Builds a function that estimates the run time of a task on a server. */
  private buildEstimate(
    job: EngineJob,
    task: EngineTask,
    step: StepSpec,
  ): (server: EngineServer) => number {
    const { near, remote } = this.getPassEstimates(job.spec.queue.name, task.step);
    return (server) => {
      const { kind = '' } = server.report;
      const isRemote = isRemotePlace(server, step);
      const known = isRemote ? remote : near;
      let runMs = known.get(kind);
      if (runMs === undefined) {
        const { name } = job.spec.queue;
        const { estimatedMs } = step;
        runMs = this.placeRunTimes.estimateRunMs(name, task.step, kind, isRemote, estimatedMs);
        known.set(kind, runMs);
      }
      return runMs * server.runRatios.computeSlowness(this.nowMs);
    };
  }

  /**
   * Finds the best place that is free now. A task that is not at risk takes the best fit by CPU capacity
   * among the servers near its data; another takes the server with the shortest run, best fit among
   * equal ones. Suspect servers, and those where the task did not complete, come last.
   */
  private findBestNow(
    servers: readonly EngineServer[],
    task: EngineTask,
    step: StepSpec,
    estimate: (server: EngineServer) => number,
    deadlineMs: number,
  ): Place | undefined {
    let lastResort: Place | undefined;
    let shortest: Place | undefined;
    let safe: Place | undefined;
    for (const server of servers) {
      if (
        server.freeCpuMilli >= step.demand.cpuMilli &&
        server.fits(step.demand) &&
        server.canStart(this.nowMs) &&
        isStepAllowed(server, step, task)
      ) {
        const place = { server, runMs: estimate(server), isRemote: isRemotePlace(server, step) };
        if (server.isSuspect() || task.avoidedServers.has(server.report.id)) {
          lastResort ??= place;
        } else {
          shortest = this.pickShorter(shortest, place);
          const isSafe = !place.isRemote && this.nowMs + place.runMs <= deadlineMs;
          if (isSafe && (safe === undefined || server.freeCpuMilli < safe.server.freeCpuMilli)) {
            safe = place;
          }
        }
      }
    }
    return safe ?? shortest ?? lastResort;
  }

  // eslint-disable-next-line class-methods-use-this -- belongs to the choice above
  private pickShorter(best: Place | undefined, place: Place): Place {
    if (best === undefined || place.runMs < best.runMs * (1 - EQUAL_SHARE)) {
      return place;
    }
    const isEqual = place.runMs * (1 - EQUAL_SHARE) <= best.runMs;
    return isEqual && place.server.freeCpuMilli < best.server.freeCpuMilli ? place : best;
  }

  /** Finds the busy server on which a task is expected to end first, if it has a shorter run there. */
  private findBetterPlace(
    servers: readonly EngineServer[],
    task: EngineTask,
    step: StepSpec,
    estimate: (server: EngineServer) => number,
    place: Place,
  ): BetterPlace | undefined {
    let best: BetterPlace | undefined;
    let bestEndMs = Infinity;
    for (const server of servers) {
      const runMs = estimate(server);
      if (
        runMs < place.runMs * (1 - EQUAL_SHARE) &&
        this.nowMs + runMs < bestEndMs &&
        fitsCapacity(server, step.demand) &&
        server.canStart(this.nowMs) &&
        !server.isSuspect() &&
        !task.avoidedServers.has(server.report.id) &&
        isStepAllowed(server, step, task)
      ) {
        const startMs = this.getPlan(server).findStartMs(step.demand.cpuMilli, runMs);
        if (startMs + runMs < bestEndMs) {
          best = { server, startMs, runMs };
          bestEndMs = startMs + runMs;
        }
      }
    }
    return best;
  }

  /**
   * Decides whether a task waits. The wait ends when the start that was declined first would have been
   * as good (the estimate was wrong), and while a start now still ends within the objective or, if
   * that is lost, in useful time.
   */
  private isWorthWaiting(
    job: EngineJob,
    task: EngineTask,
    place: Place,
    better: BetterPlace,
    deadlineMs: number,
  ): boolean {
    const startNowEndMs = this.nowMs + place.runMs;
    const waitEndMs = better.startMs + better.runMs;
    const usefulMs = job.arrivedAtMs + USEFUL_TIME_FACTOR * (deadlineMs - job.arrivedAtMs);
    const latestEndMs = startNowEndMs <= deadlineMs ? deadlineMs : usefulMs;
    const latestStartMs = latestEndMs - place.runMs;
    const { wait } = task;
    const untilMs = Math.min(wait?.untilMs ?? startNowEndMs - better.runMs, latestStartMs);
    const offer = {
      nowMs: this.nowMs,
      startNowEndMs,
      waitEndMs,
      waitingSinceMs: wait?.sinceMs ?? this.nowMs,
      declinedStarts: wait?.declinedStarts ?? 0,
    };
    if (this.nowMs >= untilMs) {
      if (wait !== undefined) {
        wait.isGivenUp = true;
      }
      return false;
    }
    if (!this.waitRule(offer)) {
      return false;
    }
    if (wait === undefined) {
      task.wait = {
        declinedEndMs: startNowEndMs,
        expectedEndMs: waitEndMs,
        untilMs,
        sinceMs: this.nowMs,
        declinedStarts: 1,
        isGivenUp: false,
      };
      this.lastWait = {
        ...offer,
        task: task.id,
        declinedServer: place.server.report.id,
        server: better.server.report.id,
        untilMs,
      };
      this.addCounts({ waitedTasks: 1 });
    } else {
      wait.declinedStarts += 1;
    }
    return true;
  }

  private getPlan(server: EngineServer): CapacityPlan {
    const known = this.plans.get(server);
    if (known !== undefined) {
      return known;
    }
    const plan = new CapacityPlan(server, this.nowMs);
    this.plans.set(server, plan);
    return plan;
  }

  private addCounts(added: Partial<LocalityCounts>): void {
    this.counts = {
      waitedTasks: this.counts.waitedTasks + (added.waitedTasks ?? 0),
      placesGivenUp: this.counts.placesGivenUp + (added.placesGivenUp ?? 0),
      expectedGainMs: this.counts.expectedGainMs + (added.expectedGainMs ?? 0),
      gainMs: this.counts.gainMs + (added.gainMs ?? 0),
      lossMs: this.counts.lossMs + (added.lossMs ?? 0),
    };
  }
}
