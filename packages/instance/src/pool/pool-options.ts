import type Logger from 'bunyan';
import type { ColdLimits } from '@guavaspindle/kernel/engine/cold-limits';
import type { JobLimits } from '@guavaspindle/kernel/engine/job-limits';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartOffers } from '@guavaspindle/kernel/layout/part-offers';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { ServerApi } from '@guavaspindle/platform-adapter/servers/server-api';
import type { EvacuationListener } from '../store/evacuation-listener';
import type { FleetListener } from '../store/fleet-listener';
import type { EvacuationOptions } from './evacuation-options';
import type { PoolMetrics } from './pool-metrics';
import type { ReportKnowledge } from './report-knowledge';

/** Dependencies, limits and callbacks of a `PoolLeader`. */
export interface PoolOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: PoolMetrics;
  /** The servers that are led. */
  readonly part: PoolPart;
  /** The only failure domain whose servers are used while it is cut off; undefined otherwise. */
  readonly domain: DomainName | undefined;
  readonly fencingToken: number;
  readonly maxLeaseMs: number;
  readonly stopTimeoutMs: number;
  /** Run time outside the preferred rack relative to that inside; undefined if the settings do not tell. */
  readonly remoteFactor?: number | undefined;
  /** How much work may be open; the limits of the product by default. */
  readonly jobLimits?: JobLimits;
  /** Opens a client for a server. */
  openServerClient(report: ServerReport): ServerApi;
  /** Reads all server entries from the store and adopts them; returns false if the store does not answer. */
  readServers(): Promise<boolean>;
  /** Undefined if the server entries in the store are not followed. */
  readonly reports?: ReportKnowledge;
  /** Returns whether the store has an entry that does not tell which server it stands for. */
  hasUnreadableEntry(): boolean;
  /** Reads the claim of the part from the store; returns whether this leader's is still in force. */
  confirmClaim(): Promise<boolean>;
  /** Reads the cancellations that earlier leaders have recorded; undefined if the store does not answer. */
  readCancels(): Promise<readonly JobId[] | undefined>;
  /** The spare capacity of other parts. */
  readonly offers: PartOffers;
  /** Undefined if evacuations are not followed. */
  readonly evacuations?: EvacuationOptions;
  /** Limits of the starts on cold servers; undefined if there are none. */
  readonly coldLimits?: ColdLimits;
  /** Called in each scheduling pass that leaves tasks waiting: other parts may have capacity for them. */
  onTasksWaiting(): void;
  /** Called when a server has seen a higher token: another instance leads, or has led meanwhile. */
  onFenced(): void;
  /** Called when the pool has been closed. */
  onClosed(pool: FleetListener & EvacuationListener): void;
}
