import { pingBits } from './ping-bits';

/** Decodes, from the payload of an HTTP/2 ping, the number of the last batch taken in; 0 from an earlier build. */
export function decodeReceivedBatch(payload: Uint8Array): number {
  const { buffer, byteOffset, byteLength } = payload;
  return byteLength < pingBits.payloadBytes
    ? 0
    : new DataView(buffer, byteOffset, byteLength).getUint32(pingBits.receiptOffset);
}
