import type { Interceptor } from '@connectrpc/connect';
import type { EventStamp } from '@guavaspindle/kernel/events/event-stamp';
import type { HybridClock } from '@guavaspindle/kernel/events/hybrid-clock';

const STAMP_HEADER = 'x-event-stamp';
const STAMP_PATTERN = /^(\d{1,15})\.(\d{1,9})$/;

/** Reads the event stamp from message headers; returns undefined if it is absent or malformed. */
function readStamp(headers: Headers): EventStamp | undefined {
  const match = STAMP_PATTERN.exec(headers.get(STAMP_HEADER) ?? '');
  return match === null ? undefined : { wallMs: Number(match[1]), logical: Number(match[2]) };
}

/**
 * Builds the interceptor that sends event stamps in request and response headers and passes
 * received stamps to the clock, so that events can be ordered across processes.
 */
export function buildStampInterceptor(clock: HybridClock, side: 'client' | 'server'): Interceptor {
  const writeStamp = (headers: Headers) => {
    const stamp = clock.createStamp();
    headers.set(STAMP_HEADER, `${stamp.wallMs}.${stamp.logical}`);
  };
  const observeStamp = (headers: Headers) => {
    const stamp = readStamp(headers);
    if (stamp !== undefined) {
      clock.observeStamp(stamp);
    }
  };
  return (next) => async (request) => {
    if (side === 'client') {
      writeStamp(request.header);
      const response = await next(request);
      observeStamp(response.header);
      return response;
    }
    observeStamp(request.header);
    const response = await next(request);
    writeStamp(response.header);
    return response;
  };
}
