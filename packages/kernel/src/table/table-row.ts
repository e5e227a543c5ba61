/** One row of the operators' table. `*` in `caller`, `kind` or `domain` stands for any. */
export interface TableRow {
  readonly rowId: string;
  readonly caller: string;
  readonly kind: string;
  readonly domain: string;
  /** Share of the slots at saturation, relative to the weights of the other callers. */
  readonly weight: number;
  /** Tasks running at once in each failure domain. */
  readonly maxRunning: number;
  /** Task starts per second in each failure domain. */
  readonly startsPerSecond: number;
  /** Tasks waiting at once in each failure domain. */
  readonly maxQueued: number;
  /** Default and greatest deadline of a job, in milliseconds. */
  readonly deadlineMs: number;
}
