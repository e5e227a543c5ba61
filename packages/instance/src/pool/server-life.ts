import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { LifeTerms } from '@guavaspindle/platform-adapter/servers/life-terms';
import type { EndDeliveries } from './end-deliveries';
import type { EndDelivery } from './end-delivery';

/** Number of ended runs to remember, so that an overtaken answer does not restore one of them. */
const MAX_RECENT_ENDS = 256;

/** What is known of one life of a backend server. Nothing of it holds for another life. */
export class ServerLife {
  /** When an answer of this life was last received, in own monotonic milliseconds. */
  answeredAtMs: number;

  /** Whether the server may keep ends that it need not keep. */
  hasUnacknowledgedEnds = false;

  /** When an end was last read, in own monotonic milliseconds. */
  lastEndAtMs = 0;

  /** Number of the last end that was read. */
  private readSequence = 0;

  /** Number of the last end that may be acknowledged; the server may forget it. */
  private acknowledgedSequence = 0;

  /** The ends of done runs that may not be acknowledged yet, by number. */
  private readonly deliveries = new Map<number, EndDelivery>();

  /** Server clock minus own monotonic clock, in milliseconds. */
  private clockOffsetMs: number;

  /** When each of the last ends became known, in own monotonic milliseconds, by task and run. */
  private readonly recentEnds = new Map<string, number>();

  /**
   * Runs that were ordered before this life was known. They belong to it if it lists them, and otherwise to an
   * earlier one.
   */
  private readonly inheritedRuns: Set<EngineRun>;

  /**
   * @param startedAtMs - start of the life, in Unix milliseconds, as the server reports it
   * @param clockMs - the server's clock, in milliseconds
   * @param nowMs - when the first answer of this life was received, in own monotonic milliseconds
   * @param runs - the runs that were ordered before
   */
  constructor(
    readonly startedAtMs: number,
    clockMs: number,
    nowMs: number,
    runs: Iterable<EngineRun>,
  ) {
    this.answeredAtMs = nowMs;
    this.clockOffsetMs = clockMs - nowMs;
    this.inheritedRuns = new Set(runs);
  }

  /** Records an answer of this life. */
  recordAnswer(clockMs: number, nowMs: number): void {
    this.answeredAtMs = nowMs;
    this.clockOffsetMs = clockMs - nowMs;
  }

  /** Computes the time on the server's clock at a time of the own monotonic clock, in whole milliseconds. */
  computeServerMs(ownMs: number): number {
    return Math.floor(ownMs + this.clockOffsetMs);
  }

  /** Builds what a renewal may say to this life, and to no other. */
  buildTerms(leaseEndMs: number | undefined): LifeTerms {
    return {
      serverStartedAtMs: this.startedAtMs,
      acknowledgedSequence: this.acknowledgedSequence,
      leaseEndMs: leaseEndMs === undefined ? undefined : this.computeServerMs(leaseEndMs),
    };
  }

  /** Records a listed end; returns whether it is new. */
  recordListedEnd(sequence: number, task: TaskId, run: number, nowMs: number): boolean {
    if (sequence <= this.readSequence) {
      return false;
    }
    this.readSequence = sequence;
    this.hasUnacknowledgedEnds = true;
    this.lastEndAtMs = nowMs;
    this.recordEnd(task, run, nowMs);
    return true;
  }

  /** Records that a run is over on this life. */
  recordEnd(task: TaskId, run: number, nowMs: number): void {
    this.recentEnds.set(`${task}/${run}`, nowMs);
    if (this.recentEnds.size > MAX_RECENT_ENDS) {
      const [oldest] = this.recentEnds.keys();
      this.recentEnds.delete(oldest!);
    }
  }

  /** Returns whether a run became known to be over after a call was sent, whose answer may list it still. */
  hasEndedSince(task: TaskId, run: number, sentAtMs: number): boolean {
    return (this.recentEnds.get(`${task}/${run}`) ?? -Infinity) > sentAtMs;
  }

  /** Holds back the acknowledgement of an end, and of later ones, until it has been delivered. */
  holdEnd(sequence: number, delivery: EndDelivery): void {
    this.deliveries.set(sequence, delivery);
  }

  /** Acknowledges, with later renewals, the ends that have been read so far once they have been delivered. */
  async confirmEnds(endDeliveries: EndDeliveries): Promise<void> {
    const { readSequence } = this;
    if (readSequence > this.acknowledgedSequence) {
      await endDeliveries.waitFor([...this.deliveries.values()]);
      this.deliveries.forEach(({ isSettled }, sequence) => {
        if (isSettled) {
          this.deliveries.delete(sequence);
        }
      });
      const [heldSequence = Infinity] = this.deliveries.keys();
      const deliveredSequence = Math.min(readSequence, heldSequence - 1);
      this.acknowledgedSequence = Math.max(this.acknowledgedSequence, deliveredSequence);
    }
  }

  /** Records that this life lists a run. */
  claimRun(run: EngineRun): void {
    this.inheritedRuns.delete(run);
    run.lifeStartedAtMs = this.startedAtMs;
  }

  /** Returns whether a run was ordered before this life was known, and this life has not listed it. */
  hasInherited(run: EngineRun): boolean {
    return this.inheritedRuns.has(run);
  }

  /** Returns whether it is open which life has a run, without an order to stop it. */
  hasDoubtfulRuns(runs: ReadonlyMap<TaskId, EngineRun>): boolean {
    this.inheritedRuns.forEach((run) => {
      if (runs.get(run.task) !== run) {
        this.inheritedRuns.delete(run);
      }
    });
    return [...this.inheritedRuns].some(({ state }) => state !== 'stopping');
  }
}
