import type { ProblemOutcome } from '../outcome/problem-outcome';
import type { Task } from './task';

/** Tells whether a task certainly ran, at least in part. */
function hasRun(task: Task): boolean {
  return task.state.type === 'answered' || task.state.type === 'failed';
}

/** Computes what a job that is not complete may say of its work, from the states of its tasks. */
export function computeProblemOutcome(tasks: readonly Task[]): ProblemOutcome {
  if (tasks.some(hasRun)) {
    return 'failed';
  }
  const hasNeverStarted = tasks.every((task) => task.state.type === 'waiting' && !task.mayHaveRun);
  return hasNeverStarted ? 'not-run' : 'unknown';
}
