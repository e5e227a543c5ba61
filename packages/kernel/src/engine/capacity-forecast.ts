import type { EngineServer } from './engine-server';

/** Part of its expected run time that a run is taken to need yet once it has lasted longer. */
const OVERRUN_SHARE = 0.25;

/**
 * Predicts when the servers of a service have capacity for the tasks that wait, from the free capacity and
 * the expected ends of the runs.
 */
export class CapacityForecast {
  /** CPU capacity of the servers that may be used, in thousandths of a core. */
  readonly capacityMilli: number;

  private readonly freeMilli: number;

  /** When runs are expected to end from now, in milliseconds, with their CPU demand; soonest first. */
  private readonly ends: readonly { readonly inMs: number; readonly cpuMilli: number }[];

  /** CPU time that the runs still need, in thousandths of a core times milliseconds. */
  private readonly runningWork: number;

  /**
   * @param servers - the servers of the service; those that may not be used now are no capacity
   * @param demandMilli - mean CPU demand of the waiting tasks, in thousandths of a core: what remains of a
   *   server beside a whole number of them stays unused
   */
  constructor(servers: Iterable<EngineServer>, demandMilli: number, nowMs: number) {
    const ends: { inMs: number; cpuMilli: number }[] = [];
    let capacityMilli = 0;
    let freeMilli = 0;
    let runningWork = 0;
    for (const server of servers) {
      if (
        server.state === 'usable' &&
        !server.report.isDraining &&
        !server.hasUnclaimedRuns() &&
        !server.isSuspect()
      ) {
        const { cpuMilli } = server.report.capacity;
        capacityMilli += Math.floor(cpuMilli / demandMilli) * demandMilli;
        freeMilli += Math.max(0, Math.floor(server.freeCpuMilli / demandMilli)) * demandMilli;
        for (const run of server.runs.values()) {
          const inMs = Math.max(
            run.startedAtMs + run.expectedMs - nowMs,
            run.expectedMs * OVERRUN_SHARE,
          );
          ends.push({ inMs, cpuMilli: run.demand.cpuMilli });
          runningWork += inMs * run.demand.cpuMilli;
        }
      }
    }
    this.capacityMilli = capacityMilli;
    this.freeMilli = freeMilli;
    this.runningWork = runningWork;
    this.ends = ends.sort((a, b) => a.inMs - b.inMs);
  }

  /**
   * Predicts in how many milliseconds the last of a list of tasks starts.
   *
   * @param demandMilli - sum of the CPU demands of the tasks, in thousandths of a core
   * @param work - CPU time of the tasks before the last, in thousandths of a core times milliseconds
   */
  predictStartMs(demandMilli: number, work: number): number {
    if (this.capacityMilli <= 0) {
      return Infinity;
    }
    const byWorkMs = (this.runningWork + work) / this.capacityMilli;
    let releasedMilli = this.freeMilli;
    if (demandMilli <= releasedMilli) {
      return 0;
    }
    for (const { inMs, cpuMilli } of this.ends) {
      releasedMilli += cpuMilli;
      if (demandMilli <= releasedMilli) {
        return Math.min(inMs, byWorkMs);
      }
    }
    return byWorkMs;
  }
}
