/** How a job ended, as the caller is told. */
export type JobOutcome =
  /** All tasks are done. */
  | { readonly kind: 'completed' }
  /** A task has used up its attempts. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The caller cancelled it. */
  | { readonly kind: 'cancelled' }
  /** Nothing was started and nothing will be. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: number }
  /** Something has run, and the rest was given up since it could not end in useful time. */
  | { readonly kind: 'abandoned'; readonly reason: string }
  /** Something may have run, and the end is not known. */
  | { readonly kind: 'unknown'; readonly reason: string };
