import type { Clock } from '../time/clock';
import { compareStamps } from './compare-stamps';
import type { EventStamp } from './event-stamp';

/**
 * A hybrid logical clock: its stamps never go back and are later than every stamp observed in a
 * message.
 */
export class HybridClock {
  private last: EventStamp = { wallMs: 0, logical: 0 };

  constructor(private readonly clock: Clock) {}

  /** Creates a stamp later than every earlier stamp of this process and every observed stamp. */
  createStamp(): EventStamp {
    const wallMs = this.clock.wall();
    this.last =
      wallMs > this.last.wallMs
        ? { wallMs, logical: 0 }
        : { wallMs: this.last.wallMs, logical: this.last.logical + 1 };
    return this.last;
  }

  /** Advances the clock to a stamp received with a message, if that stamp is later. */
  observeStamp(stamp: EventStamp): void {
    if (compareStamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
