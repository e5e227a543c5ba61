import type { Resources } from './resources';

/** A step of a job: a number of equal tasks that may run in parallel. */
export interface StepSpec {
  readonly taskCount: number;
  /** Resources that each task needs while it runs. */
  readonly demand: Resources;
  /** The caller's estimate of a task's run time, in milliseconds; 0 if there is none. */
  readonly estimatedMs: number;
  /** Indexes of the earlier steps that must be done first. */
  readonly after: readonly number[];
  /** Label that the server must have. */
  readonly requiredLabel: string | undefined;
  /** Rack that holds the data; a task takes longer on servers outside it. */
  readonly preferredRack: string | undefined;
  /** Maximum number of tasks of this step that one server runs at the same time. */
  readonly maxPerServer: number | undefined;
}
