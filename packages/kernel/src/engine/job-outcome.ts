/** The outcome of a job, as reported to the caller. */
export type JobOutcome =
  /** All tasks are done. */
  | { readonly kind: 'completed' }
  /** A task has used up its attempts. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The caller cancelled it. */
  | { readonly kind: 'cancelled' }
  /** No task was started, and none will be. */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly retryAfterMs: number;
      /** True if no server of the leader that refused the job could ever run it. */
      readonly isUnservable?: boolean;
    }
  /** Some tasks have run; the rest was abandoned because it could not end in useful time. */
  | { readonly kind: 'abandoned'; readonly reason: string }
  /** Some tasks may have run; how the job ended is not known. */
  | { readonly kind: 'unknown'; readonly reason: string };
