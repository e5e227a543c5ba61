import { ConnectError } from '@connectrpc/connect';

/** In the message of either the runtime or the client library, whose codes differ. */
const REFUSED_STREAM = 'REFUSED_STREAM';

/**
 * Returns whether a peer refused a call before it handled any of it (RFC 9113, 8.7), as it does with calls that
 * reach it after it has begun to close the connection.
 */
export function isRefusedStream(error: unknown): boolean {
  return ConnectError.from(error).rawMessage.includes(REFUSED_STREAM);
}
