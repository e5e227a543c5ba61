import type { EventBody } from './event-body';
import type { EventStamp } from './event-stamp';

/** An event with its stamp and the process that recorded it. */
export interface RecordedEvent {
  readonly stamp: EventStamp;
  readonly process: string;
  readonly body: EventBody;
}
