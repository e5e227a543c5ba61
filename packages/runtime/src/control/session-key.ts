import type { Http2Session } from 'node:http2';
import { createContextKey } from '@connectrpc/connect';

/** Context value of a call: the HTTP/2 connection on which it arrived. */
export const sessionKey = createContextKey<Http2Session | undefined>(undefined, {
  description: 'HTTP/2 connection of the call',
});
