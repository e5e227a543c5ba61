import type { EndDeliveries } from './end-deliveries';
import type { ReportKnowledge } from './report-knowledge';

/** Limits and callbacks that a `ServerSession` receives from the pool. */
export interface SessionOptions {
  /** Longest lease of a run, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Longest time that a stop takes, in milliseconds. */
  readonly stopTimeoutMs: number;
  /** Undefined if the server entries in the store are not followed. */
  readonly reports: ReportKnowledge | undefined;
  /** Returns the current fencing token, which every order carries. */
  fencingToken(): number;
  /** Called when a renewal is sent. */
  onRenewalSent(): void;
  /** Called when the engine's state has changed. */
  onChange(): void;
  /** Decides when the ends of runs may be acknowledged. */
  readonly endDeliveries: EndDeliveries;
  /** Called when the server has listed its runs in answer to the current token. */
  onConfirmed(): void;
  /** Called when the server lists a run that this leader has not started. */
  onUnknownRun(): void;
  /** Called when the server has seen a higher token. */
  onFenced(): void;
  /** Returns whether nothing may be sent to the server with the current token. */
  isFenced(): boolean;
}
