import type { Socket } from 'node:net';
import { waitForNextRead } from './wait-for-next-read';

/**
 * Closes a connection whose idle time is over, unless a request waits in its buffer: after a pause of the
 * process timers run before the connections are read.
 */
export async function closeIdleConnection(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await waitForNextRead();
  if (socket.bytesRead === bytesRead) {
    socket.destroySoon();
  }
}
