import type { Demand } from '../submission/demand';

/** Returns whether a server's capacity covers a task's demand; true if there is no demand. */
export function fitsDemand(capacity: Demand, demand: Demand | undefined): boolean {
  if (demand === undefined) {
    return true;
  }
  return (
    demand.cores <= capacity.cores &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.accelerators <= capacity.accelerators
  );
}
