import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';
import { ServerLife } from './server-life';

/** What an answer of a server tells about its life. */
type LifeObservation =
  | { readonly kind: 'first'; readonly life: ServerLife }
  | { readonly kind: 'same'; readonly life: ServerLife }
  /** The server has started again since the earlier life answered. */
  | { readonly kind: 'later'; readonly life: ServerLife; readonly earlier: ServerLife }
  /** A later life has answered already. The answer tells nothing about the server as it is now. */
  | { readonly kind: 'stale'; readonly life: ServerLife };

/** The lives of one backend server, in the order in which they follow each other. */
export class ServerLives {
  /** The latest life that has answered; undefined before the first answer. */
  present: ServerLife | undefined;

  private readonly endedStartsMs = new Set<number>();

  /**
   * Records which life has answered a call.
   *
   * @param answer - the start of the life that answered, in Unix milliseconds, and its clock
   * @param sentAtMs - when the call was sent, in own monotonic milliseconds
   * @param nowMs - when the answer was received, in own monotonic milliseconds
   * @param runs - the runs on the server that have been ordered or found so far
   */
  recordAnswer(
    answer: { readonly serverStartedAtMs: number; readonly clockMs: number },
    sentAtMs: number,
    nowMs: number,
    runs: Iterable<EngineRun>,
  ): LifeObservation {
    const { serverStartedAtMs, clockMs } = answer;
    const { present } = this;
    if (present === undefined) {
      this.present = new ServerLife(serverStartedAtMs, clockMs, nowMs, []);
      return { kind: 'first', life: this.present };
    }
    if (present.startedAtMs === serverStartedAtMs) {
      present.recordAnswer(clockMs, nowMs);
      return { kind: 'same', life: present };
    }
    if (!this.isLater(present, serverStartedAtMs, sentAtMs)) {
      return { kind: 'stale', life: present };
    }
    this.endedStartsMs.add(present.startedAtMs).delete(serverStartedAtMs);
    this.present = new ServerLife(serverStartedAtMs, clockMs, nowMs, runs);
    return { kind: 'later', life: this.present, earlier: present };
  }

  /** Computes the time on the clock of the present life, in whole milliseconds. */
  computeServerMs(ownMs: number): number {
    return this.present?.computeServerMs(ownMs) ?? Math.floor(ownMs);
  }

  /** Returns whether an answer to a call is about no earlier time than the last one of the present life. */
  isPresentAt(sentAtMs: number): boolean {
    return this.present === undefined || sentAtMs >= this.present.answeredAtMs;
  }

  /** Returns whether another life than the present one follows it. */
  private isLater(present: ServerLife, startedAtMs: number, sentAtMs: number): boolean {
    if (sentAtMs >= present.answeredAtMs) {
      // Lives follow each other, and the present one had answered before this call was made.
      return true;
    }
    // The calls overlapped. The server's time of day may have been set back between two lives.
    return !this.endedStartsMs.has(startedAtMs) && startedAtMs > present.startedAtMs;
  }
}
