import type { AttemptId } from '../ids/attempt-id';
import { TokenBucket } from '../limits/token-bucket';
import type { RunningAttempt } from './running-attempt';

/** Stops sent to backend servers per second, so that a wave of cancellations floods nobody. */
const MAX_STOPS_PER_SECOND = 200;

/** Attempts whose answers nobody needs any more, stopped at a bounded rate. */
export class StopQueue {
  private readonly waiting = new Map<AttemptId, RunningAttempt>();

  private readonly bucket = new TokenBucket(MAX_STOPS_PER_SECOND);

  /** Adds an attempt to stop. */
  addStop(attempt: RunningAttempt): void {
    this.waiting.set(attempt.id, attempt);
  }

  /** Drops an attempt that ended by itself. */
  dropStop(id: AttemptId): void {
    this.waiting.delete(id);
  }

  /** Takes the attempts to stop now, oldest first. */
  takeDueStops(nowMs: number): RunningAttempt[] {
    const due: RunningAttempt[] = [];
    const oldest = this.waiting.values();
    while (this.waiting.size > 0 && this.bucket.takeToken(nowMs)) {
      const attempt = oldest.next().value!;
      this.waiting.delete(attempt.id);
      due.push(attempt);
    }
    return due;
  }
}
