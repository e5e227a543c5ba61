/** Counts what the pool does. */
export interface PoolMetrics {
  recordStart(outcome: string, durationMs: number): void;
  /** A call that renews leases and reads a server's lists. */
  recordLeaseRenewal(): void;
  recordJob(queue: string, outcome: string, durationMs: number): void;
}
