import type { TaskId } from '../ids/task-id';
import type { EngineRun } from './engine-run';
import type { RunIsolation } from './run-isolation';
import type { Resources } from './resources';
import { RunRatioWindow } from './run-ratio-window';
import type { ServerReport } from './server-report';

/** Weight of the newest run in the moving average of a server's slowness. */
const NEWEST_RUN_WEIGHT = 0.2;
/** Consecutive failures after which a server is suspect and gets one run at a time. */
const FAILURES_TO_SUSPECT = 2;
/** Delay before a suspect server gets its next run; doubles with each further failure. */
const SUSPECT_BACKOFF_MS = 250;
const MAX_SUSPECT_BACKOFF_MS = 4_000;

/** A backend server and all runs that may be in progress on it. */
export class EngineServer {
  readonly runs = new Map<TaskId, EngineRun>();

  /** `unconfirmed` until the server has answered a request with this leader's fencing token. */
  state: 'unconfirmed' | 'usable' = 'unconfirmed';

  /** Moving average of actual to expected run time; a value above 1 means a slow server. */
  slowness = 1;

  /** Ratios of actual to expected run times for this kind of server and distance from the data. */
  readonly runRatios = new RunRatioWindow();

  /** Start of the life of the server that answered last, in Unix milliseconds; 0 if none has. */
  lifeStartedAtMs = 0;

  /** Whether the server's failure domain is evacuated: nothing more starts here. */
  isClosed = false;

  /** Number of starts since the server became cold; undefined while it is warm or starts are not limited. */
  coldStarts: number | undefined;

  /** Number of starts from which on a cold server gets no more. */
  coldStartLimit = Infinity;

  /** The report and the life that `confirmReport` was called for. */
  private confirmed: { readonly bornMs: number; readonly lifeStartedAtMs: number } | undefined;

  private usedCpuMilli = 0;

  private usedMemoryMb = 0;

  private usedGpus = 0;

  private readonly runsByIsolation: Record<RunIsolation, number> = { none: 0, apart: 0, alone: 0 };

  private consecutiveFailures = 0;

  private suspectUntilMs = 0;

  constructor(public report: ServerReport) {}

  /** CPU capacity that no run holds, in thousandths of a core. */
  get freeCpuMilli(): number {
    return this.report.capacity.cpuMilli - this.usedCpuMilli;
  }

  /** Returns whether the demand fits beside all runs that may be in progress. */
  fits(demand: Resources): boolean {
    const { capacity } = this.report;
    return (
      this.usedCpuMilli + demand.cpuMilli <= capacity.cpuMilli &&
      this.usedMemoryMb + demand.memoryMb <= capacity.memoryMb &&
      this.usedGpus + demand.gpus <= capacity.gpus
    );
  }

  /** Returns whether a run may be started here now. */
  canStart(nowMs: number): boolean {
    if (
      this.state !== 'usable' ||
      this.report.isDraining ||
      this.isClosed ||
      this.hasForeignReport() ||
      (this.coldStarts !== undefined && this.coldStarts >= this.coldStartLimit) ||
      this.hasUnclaimedRuns() ||
      this.hasRunOfIsolation('alone')
    ) {
      return false;
    }
    if (this.consecutiveFailures < FAILURES_TO_SUSPECT) {
      return true;
    }
    return this.runs.size === 0 && nowMs >= this.suspectUntilMs;
  }

  /**
   * Returns whether the report names another life than the one that answers, so that its capacity and its labels
   * may not be those of the server as it is now. False if the report or the answers name none.
   */
  hasForeignReport(): boolean {
    const { lifeStartedAtMs, confirmed } = this;
    const { bornMs } = this.report;
    return (
      bornMs !== lifeStartedAtMs &&
      bornMs !== 0 &&
      lifeStartedAtMs !== 0 &&
      !(confirmed?.bornMs === bornMs && confirmed.lifeStartedAtMs === lifeStartedAtMs)
    );
  }

  /** Uses the report for the life that answers now, although it names another one. */
  confirmReport(): void {
    this.confirmed = { bornMs: this.report.bornMs, lifeStartedAtMs: this.lifeStartedAtMs };
  }

  /**
   * Returns whether another leader started a run here whose job is not submitted to this leader.
   * That leader may be unreachable and rely on the lease to expire, and every start extends the
   * lease.
   */
  hasUnclaimedRuns(): boolean {
    for (const run of this.runs.values()) {
      if (run.isUnclaimed) {
        return true;
      }
    }
    return false;
  }

  /** Lists the tasks of the runs whose starts are no longer under way. */
  listStartedTasks(): readonly TaskId[] {
    return [...this.runs.values()]
      .filter(({ state }) => state !== 'starting')
      .map(({ task }) => task);
  }

  /** Returns whether a run of this isolation is in progress here. */
  hasRunOfIsolation(isolation: RunIsolation): boolean {
    return this.runsByIsolation[isolation] > 0;
  }

  /** Forgets failures and run times, which say nothing about a new life of the server. */
  clearHealth(): void {
    this.consecutiveFailures = 0;
    this.suspectUntilMs = 0;
    this.slowness = 1;
    this.runRatios.clear();
  }

  /**
   * Returns whether the most recent runs here failed or their starts went unanswered or refused.
   */
  isSuspect(): boolean {
    return this.consecutiveFailures >= FAILURES_TO_SUSPECT;
  }

  /** Adds a run and reserves its resources. */
  addRun(run: EngineRun): void {
    this.runs.set(run.task, run);
    this.usedCpuMilli += run.demand.cpuMilli;
    this.usedMemoryMb += run.demand.memoryMb;
    this.usedGpus += run.demand.gpus;
    this.runsByIsolation[run.isolation] += 1;
  }

  /** Removes a run and releases its resources. */
  dropRun(run: EngineRun): void {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    this.runs.delete(run.task);
    this.usedCpuMilli -= run.demand.cpuMilli;
    this.usedMemoryMb -= run.demand.memoryMb;
    this.usedGpus -= run.demand.gpus;
    this.runsByIsolation[run.isolation] -= 1;
  }

  /** Records that a run was started here. */
  recordStart(): void {
    if (this.coldStarts !== undefined) {
      this.coldStarts += 1;
    }
  }

  /** Records a completed run; `ratio` is its duration divided by the expected one. */
  recordSuccess(ratio: number): void {
    this.consecutiveFailures = 0;
    this.slowness += (ratio - this.slowness) * NEWEST_RUN_WEIGHT;
  }

  /** Records a run that failed or whose start went unanswered or was refused. */
  recordFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    const doublings = Math.max(0, this.consecutiveFailures - FAILURES_TO_SUSPECT);
    this.suspectUntilMs =
      nowMs + Math.min(MAX_SUSPECT_BACKOFF_MS, SUSPECT_BACKOFF_MS * 2 ** Math.min(doublings, 8));
  }
}
