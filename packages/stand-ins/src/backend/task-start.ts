/** A task start as a backend server stand-in recorded it, for tests that check what was run. */
export interface TaskStart {
  readonly task: string;
  readonly attempt: string;
  readonly kind: string;
  readonly startedAtMs: number;
  readonly payload: unknown;
}
