/** Records the metrics of the pool and its jobs. */
export interface PoolMetrics {
  recordStart(outcome: string, durationMs: number): void;
  /** Records a call that renews leases and reads a server's lists of runs. */
  recordLeaseRenewal(): void;
  recordJob(queue: string, outcome: string, durationMs: number): void;
}
