import { pingBits } from './ping-bits';
import type { PingFlags } from './ping-flags';

/** Decodes the payload of an HTTP/2 ping; bits of later builds are ignored. */
export function decodePingFlags(payload: Uint8Array): PingFlags {
  const bits = payload[0] ?? 0;
  const hasBit = (bit: number): boolean => Math.floor(bits / bit) % 2 === 1;
  return { isIdle: hasBit(pingBits.idle), isReportNeeded: hasBit(pingBits.reportNeeded) };
}
