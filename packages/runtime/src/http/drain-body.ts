import type { IncomingMessage } from 'node:http';

/**
 * Reads what is left of a request's body. Resolves with true at its end, and with false if more is left than
 * the limit.
 */
export async function drainBody(incoming: IncomingMessage, maxBytes: number): Promise<boolean> {
  if (incoming.readableEnded || incoming.destroyed) {
    return true;
  }
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
    return false;
  }
  return new Promise((resolve) => {
    let length = 0;
    const recordEnd = (): void => resolve(true);
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) {
        resolve(false);
      }
    });
    incoming.once('end', recordEnd);
    incoming.once('error', recordEnd);
    incoming.once('close', recordEnd);
    incoming.resume();
  });
}
