import type { ProblemCode } from './problem-code';
import type { ProblemOutcome } from './problem-outcome';

/** A refusal or failure of a submission. */
export interface Problem {
  readonly code: ProblemCode;
  /** One sentence for people: what happened and what to do. */
  readonly detail: string;
  readonly outcome: ProblemOutcome;
  /** Time in milliseconds from now after which a new submission may succeed. */
  readonly retryAfterMs?: number;
}
