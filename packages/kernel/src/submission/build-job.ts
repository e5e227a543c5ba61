import type { RunTimeEstimator } from '../policy/run-time-estimator';
import type { TaskId } from '../ids/task-id';
import type { Job } from './job';
import type { JobSubmission } from './job-submission';
import type { Task } from './task';

/** Builds the tasks of a job, each with its estimated run time. */
function buildTasks(submission: JobSubmission, estimator: RunTimeEstimator): Task[] {
  const { caller, kind, jobId } = submission;
  return submission.tasks.map((input, index) => ({
    id: `${jobId}/${index}` as TaskId,
    index,
    input,
    state: { type: 'waiting' },
    attempts: 0,
    mayHaveRun: false,
    estimateMs: estimator.estimateMs(caller, kind, input.expectedMs),
  }));
}

/** Lists the indices of the tasks that match the predicate, in reverse order. */
function listIndicesReversed(tasks: readonly Task[], predicate: (task: Task) => boolean): number[] {
  return tasks
    .filter(predicate)
    .map((task) => task.index)
    .reverse();
}

/**
 * Builds a job from a validated submission, with all tasks waiting.
 *
 * @param deadlineMs - time until the deadline, in milliseconds from `nowMs`
 */
export function buildJob(
  submission: JobSubmission,
  estimator: RunTimeEstimator,
  nowMs: number,
  deadlineMs: number,
): Job {
  const tasks = buildTasks(submission, estimator);
  const isLong = (task: Task) =>
    estimator.isLong(submission.caller, submission.kind, task.input.expectedMs);
  return {
    id: submission.jobId,
    caller: submission.caller,
    kind: submission.kind,
    bodyHash: submission.bodyHash,
    idempotent: submission.idempotent,
    acceptedAtMs: nowMs,
    deadlineAtMs: nowMs + deadlineMs,
    tasks,
    waitingShortIndices: listIndicesReversed(tasks, (task) => !isLong(task)),
    waitingLongIndices: listIndicesReversed(tasks, isLong),
    answeredCount: 0,
    startedCountAtEnd: undefined,
    waitingWorkMs: tasks.reduce((sum, task) => sum + task.estimateMs, 0),
    orderKey: 0,
    result: undefined,
  };
}
