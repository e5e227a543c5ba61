/** All callers are answered this long before the platform kills the process; the rest ends the connections. */
const MARGIN_MS = 800;
/** Time is kept for this many delays of the event loop as long as the longest of late. */
const LAGS_TO_SURVIVE = 3;
/** Share of the grace time that is kept for delays of the event loop, at most. */
const MAX_LAG_SHARE = 0.5;
/**
 * Share of the grace time in which jobs on open connections are still accepted. Later jobs are
 * refused, so that every accepted job can be answered.
 */
const ACCEPT_JOBS_SHARE = 0.4;

/** The times of a shutdown, which move up while the event loop is late. */
export class ShutdownSchedule {
  private readonly graceMs: number;

  private readonly signalMs: number;

  /**
   * @param signalMs - when the process was asked to shut down, in monotonic milliseconds; not later than it was
   * @param graceMs - how long after that the platform kills the process
   */
  constructor({ signalMs, graceMs }: { readonly signalMs: number; readonly graceMs: number }) {
    this.signalMs = signalMs;
    this.graceMs = graceMs;
  }

  /**
   * Computes when all callers are answered.
   *
   * @param lagMs - the longest delay of the event loop of late
   */
  computeAnswerMs(lagMs: number): number {
    const keptMs = Math.min(MAX_LAG_SHARE * this.graceMs, LAGS_TO_SURVIVE * lagMs);
    return this.signalMs + this.graceMs - MARGIN_MS - keptMs;
  }

  /** Computes from when jobs are refused. */
  computeRefuseMs(lagMs: number): number {
    return Math.min(this.computeAnswerMs(lagMs), this.signalMs + ACCEPT_JOBS_SHARE * this.graceMs);
  }
}
