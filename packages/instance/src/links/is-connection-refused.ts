import { ConnectError } from '@connectrpc/connect';

/** Returns whether a call failed because nothing listens at the address. */
export function isConnectionRefused(error: unknown): boolean {
  const cause = error instanceof ConnectError ? error.cause : error;
  return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}
