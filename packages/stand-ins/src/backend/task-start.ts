/** One start as the stand-in lists it; the witness of what really ran. */
export interface TaskStart {
  readonly task: string;
  readonly attempt: string;
  readonly kind: string;
  readonly startedAtMs: number;
  readonly payload: unknown;
}
