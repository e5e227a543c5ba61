import type { EventBody } from './event-body';
import type { HybridClock } from './hybrid-clock';
import type { RecordedEvent } from './recorded-event';

/** Keeps the newest events of one process, up to a fixed number. */
export class EventRingBuffer {
  private readonly slots: (RecordedEvent | undefined)[];

  private writtenCount = 0;

  constructor(
    private readonly processName: string,
    private readonly clock: HybridClock,
    private readonly capacity: number,
  ) {
    this.slots = new Array<RecordedEvent | undefined>(capacity);
  }

  /** Records an event with a new stamp. When the buffer is full, it overwrites the oldest event. */
  recordEvent(body: EventBody): void {
    const event = { stamp: this.clock.createStamp(), process: this.processName, body };
    this.slots[this.writtenCount % this.capacity] = event;
    this.writtenCount += 1;
  }

  /** Returns the events since a wall time in milliseconds, of one job if given, oldest first. */
  readEvents(sinceMs: number, jobId?: string): RecordedEvent[] {
    const firstIndex = Math.max(0, this.writtenCount - this.capacity);
    const matchingEvents: RecordedEvent[] = [];
    for (let index = firstIndex; index < this.writtenCount; index += 1) {
      const event = this.slots[index % this.capacity]!;
      const isOfJob = jobId === undefined || event.body.jobId === jobId;
      if (isOfJob && event.stamp.wallMs >= sinceMs) {
        matchingEvents.push(event);
      }
    }
    return matchingEvents;
  }
}
