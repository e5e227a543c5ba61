import type { Clock } from '../time/clock';
import { compareStamps } from './compare-stamps';
import type { EventStamp } from './event-stamp';

/** Wall time that never runs back and passes every stamp seen in a message (a hybrid clock). */
export class HybridClock {
  private last: EventStamp = { wallMs: 0, logical: 0 };

  constructor(private readonly clock: Clock) {}

  /** Makes a stamp later than every earlier one of this process and every observed one. */
  createStamp(): EventStamp {
    const wallMs = this.clock.wall();
    this.last =
      wallMs > this.last.wallMs
        ? { wallMs, logical: 0 }
        : { wallMs: this.last.wallMs, logical: this.last.logical + 1 };
    return this.last;
  }

  /** Takes note of a stamp that came with a message. */
  observeStamp(stamp: EventStamp): void {
    if (compareStamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
