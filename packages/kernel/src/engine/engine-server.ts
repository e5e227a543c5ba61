import type { TaskId } from '../ids/task-id';
import type { EngineRun } from './engine-run';
import type { Resources } from './resources';
import type { ServerReport } from './server-report';

/** Weight of the newest run in the server's slowness. */
const NEWEST_RUN_WEIGHT = 0.2;
/** Failures in a row after which a server gets one run at a time. */
const FAILURES_TO_SUSPECT = 2;
/** A suspect server gets its next run after so many milliseconds, doubled with each failure. */
const SUSPECT_BACKOFF_MS = 250;
const MAX_SUSPECT_BACKOFF_MS = 4_000;

/** A backend server with everything that may be running on it. */
export class EngineServer {
  readonly runs = new Map<TaskId, EngineRun>();

  /** `unconfirmed` until the server has answered with this leader's fencing token. */
  state: 'unconfirmed' | 'usable' = 'unconfirmed';

  /** Run times against the expected ones; above 1 is slow. */
  slowness = 1;

  private usedCpuMilli = 0;

  private usedMemoryMb = 0;

  private usedGpus = 0;

  private consecutiveFailures = 0;

  private suspectUntilMs = 0;

  constructor(public report: ServerReport) {}

  /** Free processor, in thousandths of a core. */
  get freeCpuMilli(): number {
    return this.report.capacity.cpuMilli - this.usedCpuMilli;
  }

  /** Tells whether the demand fits beside everything that may be running. */
  fits(demand: Resources): boolean {
    const { capacity } = this.report;
    return (
      this.usedCpuMilli + demand.cpuMilli <= capacity.cpuMilli &&
      this.usedMemoryMb + demand.memoryMb <= capacity.memoryMb &&
      this.usedGpus + demand.gpus <= capacity.gpus
    );
  }

  /** Tells whether a start may be sent now. */
  canStart(nowMs: number): boolean {
    if (this.state !== 'usable' || this.report.isDraining || this.hasUnclaimedRuns()) {
      return false;
    }
    if (this.consecutiveFailures < FAILURES_TO_SUSPECT) {
      return true;
    }
    return this.runs.size === 0 && nowMs >= this.suspectUntilMs;
  }

  /**
   * Tells whether a run here was ordered by another leader for a job that nobody has handed in. That
   * leader may be out of reach and count on the lease to lapse, and every start extends it.
   */
  hasUnclaimedRuns(): boolean {
    for (const run of this.runs.values()) {
      if (run.isUnclaimed) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether the last runs here failed. */
  isSuspect(): boolean {
    return this.consecutiveFailures >= FAILURES_TO_SUSPECT;
  }

  /** Adds a run and takes its resources. */
  addRun(run: EngineRun): void {
    this.runs.set(run.task, run);
    this.usedCpuMilli += run.demand.cpuMilli;
    this.usedMemoryMb += run.demand.memoryMb;
    this.usedGpus += run.demand.gpus;
  }

  /** Removes a run and gives its resources back. */
  dropRun(run: EngineRun): void {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    this.runs.delete(run.task);
    this.usedCpuMilli -= run.demand.cpuMilli;
    this.usedMemoryMb -= run.demand.memoryMb;
    this.usedGpus -= run.demand.gpus;
  }

  /** Takes in a run that ended done; `ratio` is its duration against the expected one. */
  recordSuccess(ratio: number): void {
    this.consecutiveFailures = 0;
    this.slowness += (ratio - this.slowness) * NEWEST_RUN_WEIGHT;
  }

  /** Takes in a run that failed or got no answer. */
  recordFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    const doublings = Math.max(0, this.consecutiveFailures - FAILURES_TO_SUSPECT);
    this.suspectUntilMs =
      nowMs + Math.min(MAX_SUSPECT_BACKOFF_MS, SUSPECT_BACKOFF_MS * 2 ** Math.min(doublings, 8));
  }
}
