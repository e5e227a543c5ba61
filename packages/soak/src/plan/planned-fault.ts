import type { SoakFault } from './soak-fault';

/** A fault and when it strikes. */
export interface PlannedFault {
  /** Milliseconds from the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  readonly fault: SoakFault;
}
