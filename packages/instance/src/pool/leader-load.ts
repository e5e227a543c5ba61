import type { LocalityCounts } from '@guavaspindle/kernel/engine/locality-counts';
import type { PoolLoad } from '@guavaspindle/kernel/engine/pool-load';

/**
 * The load of a leader's pool and of its process over the last interval, with the waits for better places
 * if the settings have a remote factor.
 */
export interface LeaderLoad extends PoolLoad, Partial<LocalityCounts> {
  /** Task starts ordered in the interval. */
  readonly starts: number;
  /** Calls in the interval that renewed leases or read the lists of a backend server. */
  readonly renewals: number;
  /** Jobs in the interval that had been submitted to an earlier leader. */
  readonly resumedJobs: number;
  /** Greatest delay of a timer of this process, in milliseconds. */
  readonly loopLagMs: number;
  /** Processor time used by this process, as a share of one core. */
  readonly processorShare: number;
}
