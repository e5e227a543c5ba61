import type { Demand } from '../submission/demand';

/** Tells whether a server's capacity covers a task's demand. */
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
