import type { Socket } from 'node:net';

/** How long a connection is read after its last answer if the caller does not close its side. */
const LINGER_MS = 5_000;

/**
 * Lets node close a connection after its last answer without a reset. A socket that is closed while bytes
 * of the caller are unread or on their way is reset, by which the caller may lose the answer (RFC 9112,
 * section 9.6). Only the sending side is closed, and the connection is read until the caller closes it.
 */
export function attachLingeringClose(socket: Socket): void {
  Object.assign(socket, {
    destroySoon(): void {
      if (socket.writableEnded) {
        return;
      }
      socket.end();
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      timer.unref();
      socket.once('close', () => clearTimeout(timer));
    },
  });
}
