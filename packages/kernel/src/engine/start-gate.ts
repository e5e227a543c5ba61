/**
 * Largest age that the knowledge of the closed failure domains may have when a leader begins to start tasks, as
 * a share of the time within which a closing has to be in force.
 */
const MAX_AGE_SHARE = 0.5;
/**
 * A pause of the process that is shorter, as the same kind of share, needs no new knowledge: together with the
 * age above it ends a quarter before the time is over.
 */
const MAX_PAUSE_SHARE = 0.25;
/**
 * The same share of time after which a leader goes on with what it knows, as the store does not answer. Covers a
 * watch and a read that time out (1.1 and 0.6 s) and the pauses after them.
 */
const MAX_WAIT_SHARE = 0.5;

/**
 * Decides whether a leader may start tasks, by the age of what it knows of the closed failure domains. It never
 * may before it knows them. When it begins to lead, and after a pause of its process, it waits for knowledge that
 * is recent enough. If the store does not answer meanwhile, what is known holds, as it does during a later outage.
 */
export class StartGate {
  /** As of when the closed domains are known, in monotonic milliseconds. */
  private knownAsOfMs = -Infinity;

  /** Since when recent knowledge has been waited for; undefined if it is not. */
  private waitsSinceMs: number | undefined;

  /**
   * @param evacuationMs - time within which a closing has to be in force, in milliseconds
   * @param openedAtMs - when the leadership began; undefined for the leader of a domain that is cut off from
   *   the store, which does not wait for knowledge
   */
  constructor(
    private readonly evacuationMs: number,
    openedAtMs: number | undefined,
  ) {
    this.waitsSinceMs = openedAtMs;
  }

  /** Records as of when the closed domains are known, in monotonic milliseconds. */
  recordKnowledge(asOfMs: number): void {
    this.knownAsOfMs = Math.max(this.knownAsOfMs, asOfMs);
  }

  /** Records that this process was paused until now. */
  recordPause(pausedMs: number, nowMs: number): void {
    if (pausedMs > this.evacuationMs * MAX_PAUSE_SHARE) {
      this.waitsSinceMs = nowMs;
    }
  }

  /** Returns whether tasks may be started now. */
  canStart(nowMs: number): boolean {
    if (this.knownAsOfMs === -Infinity) {
      return false;
    }
    const { waitsSinceMs, evacuationMs } = this;
    if (
      waitsSinceMs !== undefined &&
      (this.knownAsOfMs >= waitsSinceMs - evacuationMs * MAX_AGE_SHARE ||
        nowMs - waitsSinceMs >= evacuationMs * MAX_WAIT_SHARE)
    ) {
      this.waitsSinceMs = undefined;
    }
    return this.waitsSinceMs === undefined;
  }
}
