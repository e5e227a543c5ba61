import type { ProblemCode } from './problem-code';
import type { ProblemOutcome } from './problem-outcome';

/** A refusal or failure of a submission, as a value. */
export interface Problem {
  readonly code: ProblemCode;
  /** One sentence for a person: what happened and what to do. */
  readonly detail: string;
  readonly outcome: ProblemOutcome;
  /** When a new submission may fare better, in milliseconds from now. */
  readonly retryAfterMs?: number;
}
