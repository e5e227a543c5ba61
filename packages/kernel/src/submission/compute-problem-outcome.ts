import type { ProblemOutcome } from '../outcome/problem-outcome';
import type { Task } from './task';

/** Returns whether a task is known to have run, at least in part. */
function hasRun(task: Task): boolean {
  return task.state.type === 'answered' || task.state.type === 'failed';
}

/** Computes the outcome to report for an incomplete job from the states of its tasks. */
export function computeProblemOutcome(tasks: readonly Task[]): ProblemOutcome {
  if (tasks.some(hasRun)) {
    return 'failed';
  }
  const hasNeverStarted = tasks.every((task) => task.state.type === 'waiting' && !task.mayHaveRun);
  return hasNeverStarted ? 'not-run' : 'unknown';
}
