/** How much work callers may have open. An item is a task, or a reference from a step to an earlier one. */
export interface JobLimits {
  /** Largest number of items of one job. */
  readonly maxJobItems: number;
  /** Largest number of items of all open jobs, at an entry instance and at the leader of a part. */
  readonly maxOpenItems: number;
}
