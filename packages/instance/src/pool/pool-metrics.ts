import type { LeaderLoad } from './leader-load';

/** Records the metrics of the pool and its jobs. */
export interface PoolMetrics {
  recordStart(outcome: string, durationMs: number): void;
  /** Records a call that renews leases and reads a server's lists of runs. */
  recordLeaseRenewal(): void;
  /** Records the load of the pool that this instance leads; undefined once it leads none. */
  recordLoad(load: LeaderLoad | undefined): void;
  /** Records how a caller's cancellation was answered. */
  recordCancel(result: string, durationMs: number): void;
  /** Records jobs of a queue that this instance, as the leader, refused for lack of capacity. */
  recordRefusals(queue: string, reason: string, jobs: number): void;
  recordJob(queue: string, outcome: string, durationMs: number): void;
}
