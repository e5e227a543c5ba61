import type { AnswerCounts } from './answer-counts';

/** What came of a soak run. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: number;
  readonly sent: number;
  readonly served: number;
  readonly starts: number;
  /** Requests to cancel a job, by answer; `open`: no answer, or one that asks to try again. */
  readonly cancels: Readonly<Record<'cancelled' | 'not-found' | 'open', number>>;
  readonly answers: AnswerCounts;
  /** Jobs sent and served once the faults were over. */
  readonly calmSent: number;
  readonly calmServed: number;
  /** Each promise that was broken, in words. */
  readonly broken: readonly string[];
  /** Where the instances' log lines are. */
  readonly folder: string;
}
