import type { Resources } from './resources';

/** A step of a job: tasks alike that may run at the same time. */
export interface StepSpec {
  readonly taskCount: number;
  /** What each task needs while it runs. */
  readonly demand: Resources;
  /** The caller's rough estimate of a task's run time, in milliseconds; 0 if none is given. */
  readonly estimatedMs: number;
  /** Numbers of earlier steps that must be done first. */
  readonly after: readonly number[];
  /** A label that the server must have. */
  readonly requiredLabel: string | undefined;
  /** The rack that holds the data; elsewhere the task takes longer. */
  readonly preferredRack: string | undefined;
  /** Most tasks of this step that one server runs at the same time. */
  readonly maxPerServer: number | undefined;
}
