import type { QueueName } from '../ids/queue-name';
import type { ServiceName } from '../ids/service-name';

/** Configuration of a queue. */
export interface QueueSettings {
  readonly name: QueueName;
  /** Service whose backend servers run the queue's tasks. */
  readonly service: ServiceName;
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of one task that fails the job. */
  readonly maxAttempts: number;
  /** The objective is the duration of the critical path times this factor, plus `targetMs`. */
  readonly stretch: number;
  /** Constant part of the objective, in milliseconds. */
  readonly targetMs: number;
}
