import { buildTaskId } from './build-task-id';
import type { EngineJob } from './engine-job';
import type { EngineTask } from './engine-task';
import type { EngineSubmission } from './engine-submission';

/** Builds an open job from a submission. Tasks that are known to be done are not run again. */
export function buildEngineJob(submission: EngineSubmission, nowMs: number): EngineJob {
  const { spec, doneTasks } = submission;
  const mayHaveStarted = submission.isResumed && submission.isUnstarted !== true;
  const tasks: EngineTask[] = spec.steps.flatMap((step, stepIndex) =>
    Array.from({ length: step.taskCount }, (_unused, index) => {
      const id = buildTaskId(spec.id, 0, stepIndex, index);
      return {
        id,
        step: stepIndex,
        state: doneTasks.has(id) ? ('done' as const) : ('waiting' as const),
        current: undefined,
        lastRunNumber: 0,
        failures: 0,
        avoidedServers: new Set(),
        blockedUntilMs: mayHaveStarted ? nowMs + submission.priorRunsExpireInMs : 0,
      };
    }),
  );
  const remainingByStep = spec.steps.map(() => 0);
  tasks
    .filter((task) => task.state !== 'done')
    .forEach((task) => {
      remainingByStep[task.step]! += 1;
    });
  return {
    spec,
    owner: submission.owner,
    isUnlisted: false,
    arrivedAtMs: nowMs - submission.ageMs,
    tasks,
    smallestDemandMilli: Math.min(...spec.steps.map(({ demand }) => demand.cpuMilli)),
    remainingByStep,
    longestRunMsByStep: spec.steps.map(() => 0),
    remainingTasks: remainingByStep.reduce((sum, count) => sum + count, 0),
    runningTasks: 0,
    mayRunOnUnknownServers: submission.mayRunOnUnknownServers,
    isMovable: !submission.isMoved && !submission.isResumed,
    moveCount: submission.moveCount ?? (submission.isMoved ? 1 : 0),
    isStranded: false,
    hasStarted: mayHaveStarted || doneTasks.size > 0,
    callerDomain: submission.callerDomain,
    group: undefined,
    wasOffered: false,
    knownPath: undefined,
  };
}
