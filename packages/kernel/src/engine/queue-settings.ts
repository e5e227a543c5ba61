import type { QueueName } from '../ids/queue-name';
import type { ServiceName } from '../ids/service-name';

/** What the configuration says of a queue. */
export interface QueueSettings {
  readonly name: QueueName;
  /** The backend servers that run the queue's tasks. */
  readonly service: ServiceName;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of a task that may end failed before the job has failed. */
  readonly maxAttempts: number;
  /** The objective is this many times the longest chain of work, plus `targetMs`. */
  readonly stretch: number;
  /** Part of the objective that does not depend on the work, in milliseconds. */
  readonly targetMs: number;
}
