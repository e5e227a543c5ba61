import { randomBytes } from 'node:crypto';
import { createLogger } from 'bunyan';
import { StatsD } from 'hot-shots';
import { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import { HybridClock } from '@guavaspindle/kernel/events/hybrid-clock';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { splitAddress } from '../control/split-address';
import { buildStampInterceptor } from '../events/build-stamp-interceptor';
import type { ProcessContext } from './process-context';

/** Number of random bytes in an incarnation id; enough to make ids of processes distinct. */
const INCARNATION_BYTES = 8;

/** The common settings that a process context is built from. */
interface ContextSettings {
  readonly process: { readonly domain: string; readonly events: number };
  readonly log: { readonly level: 'debug' | 'info' | 'warn' | 'error' };
  readonly metrics: { readonly statsd: readonly string[] };
}

/** Builds the metrics client; without a StatsD server in the settings it sends nothing. */
function buildMetrics(role: string, settings: ContextSettings): StatsD {
  const [server] = settings.metrics.statsd;
  if (server === undefined) {
    return new StatsD({ mock: true });
  }
  const { host, port } = splitAddress(server);
  const globalTags = { domain: settings.process.domain };
  // Metrics are sent over UDP and may be lost; a send error must not affect request processing.
  return new StatsD({ host, port, prefix: `guavaspindle.${role}.`, globalTags, errorHandler() {} });
}

/** Builds the clock, logger, metrics client, event ring and interceptors of a process. */
export function buildProcessContext(role: string, settings: ContextSettings): ProcessContext {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex') as IncarnationId;
  const hybridClock = new HybridClock(systemClock);
  const { domain, events } = settings.process;
  return {
    incarnation,
    clock: systemClock,
    log: createLogger({ name: role, level: settings.log.level, domain, incarnation }),
    metrics: buildMetrics(role, settings),
    ring: new EventRingBuffer(`${role}/${domain}/${incarnation}`, hybridClock, events),
    clientInterceptors: [buildStampInterceptor(hybridClock, 'client')],
    serverInterceptors: [buildStampInterceptor(hybridClock, 'server')],
  };
}
