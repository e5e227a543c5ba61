import { pingBits } from './ping-bits';
import type { PingFlags } from './ping-flags';

/**
 * Encodes the payload of an HTTP/2 ping.
 *
 * @param receivedBatch - number of the last batch that needed a receipt; 0 if there was none
 */
export function encodePingFlags({ isIdle, isReportNeeded }: PingFlags, receivedBatch = 0): Buffer {
  const payload = Buffer.alloc(pingBits.payloadBytes);
  payload[0] = (isIdle ? pingBits.idle : 0) + (isReportNeeded ? pingBits.reportNeeded : 0);
  payload.writeUInt32BE(receivedBatch, pingBits.receiptOffset);
  return payload;
}
