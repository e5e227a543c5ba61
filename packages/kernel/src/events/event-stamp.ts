/** A hybrid logical time: wall milliseconds, then a counter among equal ones. */
export interface EventStamp {
  readonly wallMs: number;
  readonly logical: number;
}
