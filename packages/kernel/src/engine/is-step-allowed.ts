import type { EngineServer } from './engine-server';
import type { EngineTask } from './engine-task';
import type { StepSpec } from './step-spec';

/** Returns whether the required label and the limit per server allow a task of this step here. */
export function isStepAllowed(server: EngineServer, step: StepSpec, task: EngineTask): boolean {
  if (step.requiredLabel !== undefined && !server.report.labels.includes(step.requiredLabel)) {
    return false;
  }
  if (step.maxPerServer === undefined) {
    return true;
  }
  const taskPrefix = task.id.slice(0, task.id.lastIndexOf('.') + 1);
  const runsOfStep = [...server.runs.keys()].filter((other) => other.startsWith(taskPrefix)).length;
  return runsOfStep < step.maxPerServer;
}
