import type { QueueName } from '../ids/queue-name';
import type { ServiceName } from '../ids/service-name';
import type { QueueSettings } from './queue-settings';

/** A queue of which no job has arrived for this long is taken to have left the configuration. */
const QUEUE_RETENTION_MS = 60_000;

interface KnownQueue {
  priority: number;
  seenAtMs: number;
}

/**
 * Knows which services have queues of different priorities, from the settings that the submitted jobs
 * carry.
 */
export class PrioritisedServices {
  private readonly queues = new Map<ServiceName, Map<QueueName, KnownQueue>>();

  /** Records the settings of a queue of which a job was submitted. */
  recordQueue({ service, name, priority }: QueueSettings, nowMs: number): void {
    const queues = this.queues.get(service) ?? new Map<QueueName, KnownQueue>();
    this.queues.set(service, queues);
    const known = queues.get(name);
    if (known === undefined) {
      queues.set(name, { priority, seenAtMs: nowMs });
    } else {
      known.priority = priority;
      known.seenAtMs = nowMs;
    }
  }

  /** Returns whether queues of different priorities use the service. */
  hasPriorities(service: ServiceName, nowMs: number): boolean {
    let first: number | undefined;
    for (const { priority, seenAtMs } of this.queues.get(service)?.values() ?? []) {
      if (nowMs - seenAtMs < QUEUE_RETENTION_MS) {
        if (first !== undefined && priority !== first) {
          return true;
        }
        first = priority;
      }
    }
    return false;
  }
}
