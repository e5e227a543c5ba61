import type { AttemptId } from '../ids/attempt-id';
import { TokenBucket } from '../limits/token-bucket';
import type { RunningAttempt } from './running-attempt';

/** Upper bound of stops per second, so that a burst of cancellations does not flood the servers. */
const MAX_STOPS_PER_SECOND = 200;

/** Queues attempts whose answers are no longer needed, and releases them at a limited rate. */
export class StopQueue {
  private readonly waiting = new Map<AttemptId, RunningAttempt>();

  private readonly bucket = new TokenBucket(MAX_STOPS_PER_SECOND);

  /** Queues a stop for an attempt. */
  addStop(attempt: RunningAttempt): void {
    this.waiting.set(attempt.id, attempt);
  }

  /** Removes an attempt that ended before its stop was sent. */
  dropStop(id: AttemptId): void {
    this.waiting.delete(id);
  }

  /** Removes and returns the attempts to stop now, in the order in which they were queued. */
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
