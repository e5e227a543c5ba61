import type { BackendServerStandIn } from '@guavaspindle/platform-adapter/stand-ins/backend-server-stand-in';
import type { ServerRestart } from '../plan/server-restart';

/** Restarts backend servers at their times; returns what drops the restarts that have not begun. */
export function beginServerRestarts(
  servers: readonly BackendServerStandIn[],
  restarts: readonly ServerRestart[],
): () => void {
  const timers = restarts.map(({ server, afterMs, downMs }) =>
    setTimeout(() => servers[server]!.restart(downMs), afterMs),
  );
  return () => timers.forEach((timer) => clearTimeout(timer));
}
