import type { EventStamp } from './event-stamp';

/** Orders stamps: a cause comes before its effect, whatever the processes' clocks say. */
export function compareStamps(left: EventStamp, right: EventStamp): number {
  return left.wallMs - right.wallMs || left.logical - right.logical;
}
