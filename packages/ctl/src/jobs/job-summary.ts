/** What the time line says of a job. */
export interface JobSummary {
  /** `unseen` if no process that was reached remembers the job. */
  readonly state: 'unseen' | 'received' | 'running' | 'ended' | 'refused';
  /** How it ended: `complete`, `failed`, `not-run` or `unknown`; empty while it has not. */
  readonly outcome: string;
  /** The dispatcher that accepted or refused it; empty if that is not known. */
  readonly owner: string;
  readonly caller: string;
  readonly tasks: number;
  readonly starts: number;
  readonly answers: number;
  readonly receivedAtMs: number | undefined;
  readonly tookMs: number | undefined;
}
