import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { EvacuatedJobs } from '@guavaspindle/kernel/engine/evacuated-jobs';
import type { LocalityCounts } from '@guavaspindle/kernel/engine/locality-counts';
import type { LeaderLoad } from '../pool/leader-load';
import type { PoolMetrics } from '../pool/pool-metrics';

/** Upper bounds of the latency buckets, in seconds. */
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];
const MS_PER_S = 1_000;
/** Figures of a leader's load that add up over its intervals. */
const PLACE_WAIT_FIGURES: ReadonlySet<string> = new Set<keyof LocalityCounts>([
  'waitedTasks',
  'placesGivenUp',
  'expectedGainMs',
  'gainMs',
  'lossMs',
]);

/** Counters and latency histograms of one process, in the Prometheus text format. */
export class InstanceMetrics implements PoolMetrics {
  private readonly registry = new Registry();

  private readonly starts = new Histogram({
    name: 'guavaspindle_start_seconds',
    help: 'Time from an order to start to its answer, by outcome.',
    labelNames: ['outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly leaseRenewals = new Counter({
    name: 'guavaspindle_server_looks_total',
    help: 'Calls that renew leases and read the lists of a backend server.',
    registers: [this.registry],
  });

  private readonly jobs = new Histogram({
    name: 'guavaspindle_job_seconds',
    help: 'Time from the arrival of a job to its answer, by queue and outcome.',
    labelNames: ['queue', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly evacuatedJobs = new Counter({
    name: 'guavaspindle_evacuated_jobs_total',
    help: 'Jobs that left a part because their servers are in evacuated failure domains, by what became of them.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  private readonly cancels = new Histogram({
    name: 'guavaspindle_cancel_seconds',
    help: 'Time from the arrival of a cancellation to its answer, by result.',
    labelNames: ['result'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly placeWaits = new Counter({
    name: 'guavaspindle_place_waits_total',
    help: 'Waits of tasks for a better place: tasks, places given up, and milliseconds gained and lost.',
    labelNames: ['figure'],
    registers: [this.registry],
  });

  private readonly load = new Gauge({
    name: 'guavaspindle_pool_load',
    help: 'Load of the pool that this instance leads and of its process, by figure, over one second.',
    labelNames: ['figure'],
    registers: [this.registry],
  });

  private readonly refusals = new Counter({
    name: 'guavaspindle_refused_jobs_total',
    help: 'Jobs that this leader refused for lack of capacity where queues have priorities, by queue and reason.',
    labelNames: ['queue', 'reason'],
    registers: [this.registry],
  });

  private readonly unansweredRequests = new Counter({
    name: 'guavaspindle_unanswered_requests_total',
    help: 'Requests of callers whose connection closed before the response was complete, by the side that closed it.',
    labelNames: ['closed_by'],
    registers: [this.registry],
  });

  /** Exports, with each scrape, the connections of callers and the requests that wait for a response. */
  observeCallers(countConnections: () => number, countRequests: () => number): void {
    const registers = [this.registry];
    // eslint-disable-next-line no-new -- the registry keeps the gauge
    new Gauge({
      name: 'guavaspindle_caller_connections',
      help: 'Open connections of callers.',
      registers,
      collect() {
        this.set(countConnections());
      },
    });
    // eslint-disable-next-line no-new -- the registry keeps the gauge
    new Gauge({
      name: 'guavaspindle_caller_requests',
      help: 'Requests of callers whose response is not complete.',
      registers,
      collect() {
        this.set(countRequests());
      },
    });
  }

  /** Counts a request whose connection closed before the response was complete. */
  recordUnansweredRequest(closedBy: 'caller' | 'instance'): void {
    this.unansweredRequests.inc({ closed_by: closedBy });
  }

  /**
   * Exports, with each scrape, the age of the last answer that each mirror of the store has had and the
   * version of the configuration in force. Figures that are not known yet are left out.
   */
  observeStore(
    mirrors: readonly { readonly prefix: string; computeAnswerAgeMs(): number | undefined }[],
    findVersion: () => number | undefined,
  ): void {
    const registers = [this.registry];
    // eslint-disable-next-line no-new -- the registry keeps the gauge
    new Gauge({
      name: 'guavaspindle_store_answer_age_seconds',
      help: 'Time since the store last answered a call for the keys under a prefix.',
      labelNames: ['prefix'],
      registers,
      collect() {
        mirrors.forEach((mirror) => {
          const ageMs = mirror.computeAnswerAgeMs();
          if (ageMs !== undefined) {
            this.set({ prefix: mirror.prefix }, ageMs / MS_PER_S);
          }
        });
      },
    });
    // eslint-disable-next-line no-new -- the registry keeps the gauge
    new Gauge({
      name: 'guavaspindle_configuration_version',
      help: 'Version of the configuration in force.',
      registers,
      collect() {
        const version = findVersion();
        if (version !== undefined) {
          this.set(version);
        }
      },
    });
  }

  /** Exports, with each scrape, the age of each request to evacuate a failure domain. */
  observeEvacuations(computeAgesS: () => ReadonlyMap<string, number>): void {
    // eslint-disable-next-line no-new -- the registry keeps the gauge
    new Gauge({
      name: 'guavaspindle_evacuation_age_seconds',
      help: 'Time since this instance learned that a failure domain is to be evacuated.',
      labelNames: ['domain'],
      registers: [this.registry],
      collect() {
        this.reset();
        computeAgesS().forEach((ageS, domain) => this.set({ domain }, ageS));
      },
    });
  }

  /** Counts the jobs that have left a part because of an evacuation. */
  recordEvacuatedJobs(jobs: EvacuatedJobs): void {
    Object.entries(jobs).forEach(([outcome, ids]) => {
      this.evacuatedJobs.inc({ outcome }, (ids as readonly unknown[]).length);
    });
  }

  recordStart(outcome: string, durationMs: number): void {
    this.starts.observe({ outcome }, durationMs / MS_PER_S);
  }

  recordLeaseRenewal(): void {
    this.leaseRenewals.inc();
  }

  recordRefusals(queue: string, reason: string, jobs: number): void {
    this.refusals.inc({ queue, reason }, jobs);
  }

  recordJob(queue: string, outcome: string, durationMs: number): void {
    this.jobs.observe({ queue, outcome }, durationMs / MS_PER_S);
  }

  recordCancel(result: string, durationMs: number): void {
    this.cancels.observe({ result }, durationMs / MS_PER_S);
  }

  recordLoad(load: LeaderLoad | undefined): void {
    this.load.reset();
    Object.entries(load ?? {}).forEach(([figure, value]) => {
      if (PLACE_WAIT_FIGURES.has(figure)) {
        this.placeWaits.inc({ figure }, value as number);
      } else {
        this.load.set({ figure }, value as number);
      }
    });
  }

  /** Returns all metrics in the Prometheus text format. */
  async formatText(): Promise<string> {
    return this.registry.metrics();
  }
}
