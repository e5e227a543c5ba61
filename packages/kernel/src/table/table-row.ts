/** One row of the operators' table. `*` in `caller`, `kind` or `domain` matches any value. */
export interface TableRow {
  readonly rowId: string;
  readonly caller: string;
  readonly kind: string;
  readonly domain: string;
  /** Share of the slots when all are in use, relative to the weights of the other callers. */
  readonly weight: number;
  /** Maximum number of tasks running at once in each failure domain. */
  readonly maxRunning: number;
  /** Maximum number of task starts per second in each failure domain. */
  readonly startsPerSecond: number;
  /** Maximum number of tasks waiting at once in each failure domain. */
  readonly maxQueued: number;
  /** Default and maximum deadline of a job, in milliseconds. */
  readonly deadlineMs: number;
}
