import type { JobId } from '../ids/job-id';
import type { QueueSettings } from './queue-settings';
import type { StepSpec } from './step-spec';

/** A job as a caller has handed it in. */
export interface JobSpec {
  readonly id: JobId;
  readonly queue: QueueSettings;
  /** Text that the servers get with each task; opaque here. */
  readonly specification: string;
  readonly steps: readonly StepSpec[];
}
