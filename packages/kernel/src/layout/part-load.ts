/** What the leader of a part reports about its load to the entry instances. */
export interface PartLoad {
  /** CPU capacity that no run holds and no waiting task needs, in thousandths of a core. */
  readonly spareCpuMilli: number;
  /** Delay of the leader's event loop, in milliseconds. */
  readonly loopLagMs: number;
}
