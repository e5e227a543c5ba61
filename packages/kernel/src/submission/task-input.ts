import type { Demand } from './demand';

/** One task of a submission, as the caller declared it. */
export interface TaskInput {
  /** The payload as JSON text, passed on unread. */
  readonly payloadJson: string;
  /** The caller's guess of the run time; it is often far off. */
  readonly expectedMs?: number;
  readonly demand?: Demand;
}
