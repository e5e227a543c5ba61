import type { EngineServer } from './engine-server';
import type { EngineTask } from './engine-task';
import { isStepAllowed } from './is-step-allowed';
import type { StepSpec } from './step-spec';

/** A server with a slowness above this value is chosen only if no other server fits. */
const SLOWNESS_THRESHOLD = 2;
/** Cost of each unit of slowness above 1, in thousandths of a core of free CPU capacity. */
const SLOWNESS_COST_MILLI = 200_000;
/** Cost of a suspect server or one where a run of this task did not complete; both come last. */
const AVOIDED_SERVER_COST_MILLI = 2_000_000;
/** Cost of a cold server: warm ones come first. */
const COLD_SERVER_COST_MILLI = 100_000;
/** Additional cost of a cold server that has had all the starts that it may have. */
const COLD_STARTS_COST_MILLI = 50_000;
/** Cost of running outside the rack that holds the data. */
const REMOTE_RACK_COST_MILLI = 400_000;

/**
 * Computes the cost of a start without penalties. Best fit by free CPU capacity; among cold servers, the one
 * with the fewest starts, since runs that share a cold server are all slow.
 */
function computeBaseCost(server: EngineServer, unusedMilli: number): number {
  return server.coldStarts === undefined
    ? unusedMilli
    : COLD_SERVER_COST_MILLI + (COLD_STARTS_COST_MILLI * server.coldStarts) / server.coldStartLimit;
}

/** Computes what is added to the base cost of a start; never negative. */
function computePenalty(server: EngineServer, task: EngineTask, step: StepSpec): number {
  let penalty = 0;
  if (server.slowness > SLOWNESS_THRESHOLD) {
    penalty += (server.slowness - 1) * SLOWNESS_COST_MILLI;
  }
  if (task.avoidedServers.has(server.report.id) || server.isSuspect()) {
    penalty += AVOIDED_SERVER_COST_MILLI;
  }
  if (step.preferredRack !== undefined && !server.report.labels.includes(step.preferredRack)) {
    penalty += REMOTE_RACK_COST_MILLI;
  }
  return penalty;
}

/**
 * Chooses the server with the lowest cost for a task, best fit by free CPU capacity; undefined if the
 * task fits on none now. Among equal costs, the first in the fleet's order is chosen. Most servers are
 * rejected by one comparison: the base cost is the least that a server can cost.
 */
export function chooseServer(
  servers: readonly EngineServer[],
  task: EngineTask,
  step: StepSpec,
  nowMs: number,
): EngineServer | undefined {
  let best: EngineServer | undefined;
  let bestCost = Infinity;
  for (const server of servers) {
    const unusedMilli = server.freeCpuMilli - step.demand.cpuMilli;
    const baseCost = computeBaseCost(server, unusedMilli);
    if (unusedMilli >= 0 && baseCost < bestCost) {
      const cost = baseCost + computePenalty(server, task, step);
      if (
        cost < bestCost &&
        server.fits(step.demand) &&
        server.canStart(nowMs) &&
        isStepAllowed(server, step, task)
      ) {
        best = server;
        bestCost = cost;
      }
    }
  }
  return best;
}
