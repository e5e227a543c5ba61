import { pingBits } from './ping-bits';
import type { PingFlags } from './ping-flags';

/** Encodes the flags as the payload of an HTTP/2 ping. */
export function encodePingFlags({ isIdle, isReportNeeded }: PingFlags): Buffer {
  const payload = Buffer.alloc(pingBits.payloadBytes);
  payload[0] = (isIdle ? pingBits.idle : 0) + (isReportNeeded ? pingBits.reportNeeded : 0);
  return payload;
}
