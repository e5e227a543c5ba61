import type { QueueName } from '../ids/queue-name';

/** Jobs of a queue that were refused for one reason since the last summary, and the inputs of the last one. */
export interface RefusalSummary {
  readonly queue: QueueName;
  readonly reason: string;
  readonly jobs: number;
  /** Longest time from the arrival of a job to its refusal, in milliseconds. */
  readonly maxAgeMs: number;
  /** Longest predicted wait for capacity, in milliseconds. */
  readonly maxStartInMs: number;
  /** Longest delay after which a caller was told to come again, in milliseconds. */
  readonly maxRetryAfterMs: number;
  /** CPU capacity of the servers that may be used, in thousandths of a core. */
  readonly capacityMilli: number;
  /** Rate of the arriving work that was not refused, in thousandths of a core. */
  readonly arrivalRateMilli: number;
  /** By how much the group of the last job falls below its share. */
  readonly lag: number;
}
