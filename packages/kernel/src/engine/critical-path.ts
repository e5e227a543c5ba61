/** Length of the critical path through a job's steps, and the job's remaining work. */
export interface CriticalPath {
  /** Duration of the whole job, as if no task were done, in milliseconds. */
  readonly totalMs: number;
  /** Duration of the remaining tasks, in milliseconds. */
  readonly remainingMs: number;
  /** Remaining CPU time, in thousandths of a core times milliseconds. */
  readonly remainingWork: number;
}
