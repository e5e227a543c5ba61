import type { Demand } from './demand';

/** One task of a submission, as the caller declared it. */
export interface TaskInput {
  /** The payload as JSON text. It is passed on without being parsed. */
  readonly payloadJson: string;
  /** The caller's estimate of the run time, in milliseconds. It is often inaccurate. */
  readonly expectedMs?: number;
  readonly demand?: Demand;
}
