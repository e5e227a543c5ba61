import type Logger from 'bunyan';
import type { StatsD } from 'hot-shots';
import type { Interceptor } from '@connectrpc/connect';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';

/** The objects that every process has: identity, clock, logger, metrics, events, interceptors. */
export interface ProcessContext {
  readonly incarnation: IncarnationId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: StatsD;
  readonly ring: EventRingBuffer;
  readonly clientInterceptors: Interceptor[];
  readonly serverInterceptors: Interceptor[];
}
