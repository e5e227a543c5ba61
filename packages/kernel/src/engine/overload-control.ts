import type { ServiceName } from '../ids/service-name';
import { CapacityForecast } from './capacity-forecast';
import { chooseRefusals } from './choose-refusals';
import { computeSharedUrgency } from './compute-shared-urgency';
import { computeUrgency } from './compute-urgency';
import type { EngineJob } from './engine-job';
import { FairShares } from './fair-shares';
import { getCriticalPath } from './get-critical-path';
import { JobSizes } from './job-sizes';
import type { PredictedEnd } from './predicted-end';
import { PrioritisedServices } from './prioritised-services';
import type { RankedJob } from './ranked-job';
import type { RefusalSummary } from './refusal-summary';
import { ReturnSchedule } from './return-schedule';
import type { ServerFleet } from './server-fleet';
import type { StepRunTimeEstimator } from './step-run-time-estimator';
import type { Urgency } from './urgency';
import { WorkRate } from './work-rate';

/** What is known of the load on one service. */
interface ServiceLoad {
  readonly shares: FairShares;
  readonly returns: ReturnSchedule;
  /** Rate of the arriving work that was not refused. */
  readonly arrivals: WorkRate;
  /** CPU capacity at the last review, in thousandths of a core. */
  capacityMilli: number;
}

/**
 * Decides, for services that queues of different priorities share, which jobs are refused at arrival, how the
 * order of starts keeps the shares fair, and when refused callers are to come again. Other services are not
 * affected. Nothing of it outlives the leader: the next one begins with declared run times and equal shares.
 */
export class OverloadControl {
  private readonly services = new PrioritisedServices();

  private readonly sizes = new JobSizes();

  private readonly loads = new Map<ServiceName, ServiceLoad>();

  private readonly summaries = new Map<string, RefusalSummary>();

  constructor(
    private readonly fleet: ServerFleet,
    private readonly runTimes: StepRunTimeEstimator,
  ) {}

  /** Returns whether queues of different priorities use the service. */
  isActive(service: ServiceName, nowMs: number): boolean {
    return this.services.hasPriorities(service, nowMs);
  }

  /** Records a job that was submitted, and its group. */
  recordArrival(job: EngineJob, nowMs: number): void {
    const { queue } = job.spec;
    this.services.recordQueue(queue, nowMs);
    if (!this.isActive(queue.service, nowMs)) {
      return;
    }
    const { remainingWork } = getCriticalPath(job, this.runTimes);
    this.sizes.recordJob(queue.name, remainingWork);
    const load = this.getLoad(queue.service);
    load.arrivals.addWork(remainingWork, nowMs);
    job.group = load.shares.getGroup(
      queue.name,
      job.callerDomain,
      this.sizes.classifyJob(queue.name, remainingWork),
    );
  }

  /** Records that a job starts for the first time. */
  recordStart(job: EngineJob, nowMs: number): void {
    if (job.group !== undefined) {
      const { remainingWork } = getCriticalPath(job, this.runTimes);
      this.getLoad(job.spec.queue.service).shares.recordDecision(
        job.group,
        remainingWork,
        true,
        nowMs,
      );
    }
  }

  /** Records that a job was sent on to another part, so that its work is not to be done here. */
  recordMove(job: EngineJob, nowMs: number): void {
    if (job.group !== undefined) {
      const { remainingWork } = getCriticalPath(job, this.runTimes);
      this.getLoad(job.spec.queue.service).arrivals.addWork(-remainingWork, nowMs);
    }
  }

  /** Computes a job's place in the order of starts. */
  computeUrgency(job: EngineJob, nowMs: number): Urgency {
    const urgency = computeUrgency(job, this.runTimes, nowMs);
    if (job.group === undefined || job.hasStarted) {
      return urgency;
    }
    const { service, priority } = job.spec.queue;
    const lag = this.getLoad(service).shares.computeLag(job.group, nowMs);
    return computeSharedUrgency(urgency, priority, lag);
  }

  /**
   * Chooses the jobs of a service to refuse, after a scheduling pass. Servers that may not be used are no
   * capacity; while there is no other, nothing can be predicted and no job is refused.
   *
   * @param waiting - the jobs that the pass has not started completely, in the order of starts
   */
  chooseRefusals(
    service: ServiceName,
    waiting: readonly RankedJob[],
    nowMs: number,
  ): PredictedEnd[] {
    let tasks = 0;
    let demandMilli = 0;
    const jobs = waiting.map(({ job, urgency }) => {
      tasks += job.remainingTasks;
      job.spec.steps.forEach(({ demand }, index) => {
        demandMilli += demand.cpuMilli * job.remainingByStep[index]!;
      });
      return { job, urgency, path: getCriticalPath(job, this.runTimes) };
    });
    if (tasks === 0 || demandMilli === 0) {
      return [];
    }
    const servers = this.fleet.listServersOfService(service);
    const forecast = new CapacityForecast(servers, demandMilli / tasks, nowMs);
    const load = this.getLoad(service);
    load.capacityMilli = forecast.capacityMilli;
    return forecast.capacityMilli === 0
      ? []
      : chooseRefusals(jobs, forecast, load.arrivals.computeRateMilli(nowMs), nowMs);
  }

  /**
   * Records that a job is refused for lack of capacity, and computes when its caller is to come again, in
   * milliseconds from now.
   *
   * @param minDelayMs - when capacity is expected, from now
   */
  recordRefusal(job: EngineJob, reason: string, minDelayMs: number, nowMs: number): number {
    const { remainingWork, totalMs } = getCriticalPath(job, this.runTimes);
    const { name: queue, service, stretch, targetMs } = job.spec.queue;
    const load = this.getLoad(service);
    if (job.group !== undefined) {
      load.arrivals.addWork(-remainingWork, nowMs);
      load.shares.recordDecision(job.group, remainingWork, false, nowMs);
    }
    // A caller that comes back within the objective of its job meets the same backlog.
    const retryAfterMs = load.returns.computeDelayMs(
      remainingWork,
      load.capacityMilli,
      Math.max(minDelayMs, stretch * totalMs + targetMs),
      nowMs,
    );
    const key = `${queue} ${reason}`;
    const ageMs = Math.round(nowMs - job.arrivedAtMs);
    const known = this.summaries.get(key);
    this.summaries.set(key, {
      queue,
      reason,
      jobs: (known?.jobs ?? 0) + 1,
      maxAgeMs: Math.max(known?.maxAgeMs ?? 0, ageMs),
      maxStartInMs: Math.round(Math.max(known?.maxStartInMs ?? 0, minDelayMs)),
      maxRetryAfterMs: Math.round(Math.max(known?.maxRetryAfterMs ?? 0, retryAfterMs)),
      capacityMilli: Math.round(load.capacityMilli),
      arrivalRateMilli: Math.round(load.arrivals.computeRateMilli(nowMs)),
      lag: job.group?.lag ?? 0,
    });
    return retryAfterMs;
  }

  /** Returns the refusals since the last call by queue and reason, and forgets them. */
  takeRefusals(): RefusalSummary[] {
    const taken = [...this.summaries.values()];
    this.summaries.clear();
    return taken;
  }

  private getLoad(service: ServiceName): ServiceLoad {
    const known = this.loads.get(service);
    if (known !== undefined) {
      return known;
    }
    const load = {
      shares: new FairShares(),
      returns: new ReturnSchedule(),
      arrivals: new WorkRate(),
      capacityMilli: 0,
    };
    this.loads.set(service, load);
    return load;
  }
}
