import type { StepSpec } from './step-spec';

/** Counts the items that `JobLimits` limits: the tasks of a job and the references between its steps. */
export function countJobItems({
  steps,
}: {
  readonly steps: readonly Pick<StepSpec, 'taskCount' | 'after'>[];
}): number {
  return steps.reduce((sum, { taskCount, after }) => sum + taskCount + after.length, 0);
}
