/**
 * A hybrid logical timestamp: wall time in milliseconds, and a counter that orders stamps of the
 * same millisecond.
 */
export interface EventStamp {
  readonly wallMs: number;
  readonly logical: number;
}
