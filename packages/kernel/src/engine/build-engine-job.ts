import { buildTaskId } from './build-task-id';
import type { EngineJob } from './engine-job';
import type { EngineTask } from './engine-task';
import type { HandedJob } from './handed-job';

/** Builds the open job for one that was handed in. */
export function buildEngineJob(handed: HandedJob, nowMs: number): EngineJob {
  const { spec, doneTasks } = handed;
  const tasks: EngineTask[] = spec.steps.flatMap((step, stepIndex) =>
    Array.from({ length: step.taskCount }, (_unused, index) => {
      const id = buildTaskId(spec.id, 0, stepIndex, index);
      return {
        id,
        step: stepIndex,
        state: doneTasks.has(id) ? ('done' as const) : ('waiting' as const),
        current: undefined,
        lastRun: 0,
        failures: 0,
        avoid: new Set(),
        blockedUntilMs: handed.isResumed ? nowMs + handed.runsMayLiveMs : 0,
      };
    }),
  );
  const openByStep = spec.steps.map(() => 0);
  tasks
    .filter((task) => task.state !== 'done')
    .forEach((task) => {
      openByStep[task.step]! += 1;
    });
  return {
    spec,
    owner: handed.owner,
    arrivedAtMs: nowMs - handed.ageMs,
    tasks,
    openByStep,
    longestByStep: spec.steps.map(() => 0),
    openTasks: openByStep.reduce((sum, count) => sum + count, 0),
    runningTasks: 0,
    runsMayHide: handed.runsMayHide,
    hasStarted: handed.isResumed || doneTasks.size > 0,
  };
}
