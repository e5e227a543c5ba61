/** What a load run sends. */
export interface LoadOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Offered work as a part of all slots, outside the crest. */
  readonly utilisation: number;
  readonly tasksPerJob: number;
  /** Run time of a short task, in milliseconds. */
  readonly shortMs: number;
  /** Part of the jobs whose tasks are long, 0 to 1. */
  readonly longPart: number;
  /** Run time of a long task in units of a short one. */
  readonly longFactor: number;
  /** Factor on the arrivals during the crest; 1 for none. */
  readonly crest: number;
  readonly crestSeconds: number;
  readonly deadlineMs: number;
}
