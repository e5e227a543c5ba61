import type { ColdLimits } from './cold-limits';
import type { EngineServer } from './engine-server';

/**
 * Computes how many runs may start on each cold server of a service, counted since it became cold. A
 * server that has just become cold counts from the mean of the others, so that it does not get all starts until
 * it has caught up with them. Returns whether any server is cold.
 */
export function setColdStartLimits(
  servers: Iterable<EngineServer>,
  { overrun, slack }: ColdLimits,
  nowMs: number,
): boolean {
  const cold: EngineServer[] = [];
  let sum = 0;
  let count = 0;
  let fewest = Infinity;
  for (const server of servers) {
    if (nowMs >= (server.report.coldUntilMs ?? -Infinity)) {
      server.coldStarts = undefined;
    } else {
      cold.push(server);
      // Servers that may not be used would keep the mean low.
      if (server.coldStarts !== undefined && server.state === 'usable' && !server.isClosed) {
        sum += server.coldStarts;
        count += 1;
        fewest = Math.min(fewest, server.coldStarts);
      }
    }
  }
  const mean = count === 0 ? 0 : sum / count;
  // With little slack, the server with the fewest starts may always get one more.
  const limit = Math.max(overrun * mean + slack, count === 0 ? 1 : fewest + 1);
  cold.forEach((server) => {
    server.coldStarts ??= Math.floor(mean);
    server.coldStartLimit = limit;
  });
  return cold.length > 0;
}
