/** The measures of one load run. Times are in milliseconds. */
export interface LoadReport {
  readonly policy: string;
  readonly jobs: number;
  readonly complete: number;
  readonly notRun: number;
  readonly failed: number;
  readonly unknown: number;
  readonly startsPerSecond: number;
  readonly shortP50: number;
  readonly shortP99: number;
  readonly longP50: number;
  readonly longP99: number;
  /** Mean response time over the time on unlimited idle slots. */
  readonly overIdeal: number;
  /** Mean response time over the bound that the real number of slots sets for the job alone. */
  readonly overBound: number;
  /** Median of the time added to the run time of the task, jobs of one task only otherwise 0. */
  readonly addedP50: number;
  /** Refused starts as a part of all messages to backend servers. */
  readonly wastedPart: number;
  /** Work answered in time during the crest as a part of what the slots can do. */
  readonly crestGoodput: number;
  /** Processor seconds of the dispatchers for each thousand starts. */
  readonly dispatcherCpuPerThousand: number;
  /** Distinct explanations of jobs with an unknown outcome, a few of them. */
  readonly unknownDetails: readonly string[];
  /** Answered jobs in each second of the run. */
  readonly goodputBySecond: readonly number[];
}
