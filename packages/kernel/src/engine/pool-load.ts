/** Counts of the work and the servers of one pool. */
export interface PoolLoad {
  readonly openJobs: number;
  /** Tasks of open jobs that neither run nor are done. */
  readonly waitingTasks: number;
  /** Runs that hold resources of a server, including those that are being stopped. */
  readonly heldRuns: number;
  readonly servers: number;
  /** Servers that have not answered a request with the current fencing token. */
  readonly unconfirmedServers: number;
  /** CPU capacity of the usable servers that no run holds, in thousandths of a core. */
  readonly freeCpuMilli: number;
}
