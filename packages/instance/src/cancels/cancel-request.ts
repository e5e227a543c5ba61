import type { CancelHints } from './cancel-hints';

/** A request of this process to cancel a job. */
export interface CancelRequest extends CancelHints {
  /** No other request of this process for the same job has this number; the answer carries it. */
  readonly request: number;
}
