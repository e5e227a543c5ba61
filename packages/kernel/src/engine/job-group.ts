import type { DomainName } from '../ids/domain-name';
import type { QueueName } from '../ids/queue-name';
import type { SizeClass } from './size-class';

/** Jobs of one queue, caller domain and size class, which are entitled to the same share of the capacity. */
export interface JobGroup {
  readonly queue: QueueName;
  /** Failure domain of the callers; undefined if it is not known. */
  readonly callerDomain: DomainName | undefined;
  readonly sizeClass: SizeClass;
  /** By how much the group falls below the share that it is entitled to, as last computed. */
  lag: number;
  lagComputedAtMs: number;
}
