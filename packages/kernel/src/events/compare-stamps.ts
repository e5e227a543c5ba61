import type { EventStamp } from './event-stamp';

/**
 * Compares stamps for sorting. A cause sorts before its effect even if the processes' clocks
 * differ.
 */
export function compareStamps(left: EventStamp, right: EventStamp): number {
  return left.wallMs - right.wallMs || left.logical - right.logical;
}
