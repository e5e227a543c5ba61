import type { JobId } from '../ids/job-id';
import type { QueueSettings } from './queue-settings';
import type { StepSpec } from './step-spec';

/** A job as a caller has submitted it. */
export interface JobSpec {
  readonly id: JobId;
  readonly queue: QueueSettings;
  /** Opaque text that is sent to the server with each task. */
  readonly specification: string;
  readonly steps: readonly StepSpec[];
}
