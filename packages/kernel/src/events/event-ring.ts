import type { EventBody } from './event-body';
import type { HybridClock } from './hybrid-clock';
import type { RecordedEvent } from './recorded-event';

/** The newest events of one process, bounded in number. */
export class EventRing {
  private readonly slots: (RecordedEvent | undefined)[];

  private written = 0;

  constructor(
    private readonly process: string,
    private readonly clock: HybridClock,
    private readonly capacity: number,
  ) {
    this.slots = new Array<RecordedEvent | undefined>(capacity);
  }

  /** Records an event with a fresh stamp. */
  recordEvent(body: EventBody): void {
    const event = { stamp: this.clock.createStamp(), process: this.process, body };
    this.slots[this.written % this.capacity] = event;
    this.written += 1;
  }

  /** Reads events from a wall time on, of one job if given, oldest first. */
  readEvents(sinceMs: number, jobId?: string): RecordedEvent[] {
    const first = Math.max(0, this.written - this.capacity);
    const found: RecordedEvent[] = [];
    for (let index = first; index < this.written; index += 1) {
      const event = this.slots[index % this.capacity]!;
      const isOfJob = jobId === undefined || event.body.jobId === jobId;
      if (isOfJob && event.stamp.wallMs >= sinceMs) {
        found.push(event);
      }
    }
    return found;
  }
}
