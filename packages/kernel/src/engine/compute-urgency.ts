import type { EngineJob } from './engine-job';
import { LATE_FACTOR } from './late-factor';
import type { RunTimeBook } from './run-time-book';
import type { Urgency } from './urgency';

/**
 * Places a job in the order of starts: earliest objective first among jobs that can still meet it,
 * then late jobs by the work that is left, so that a crest of demand leaves few jobs unserved.
 */
export function computeUrgency(job: EngineJob, book: RunTimeBook, nowMs: number): Urgency {
  const { steps, queue } = job.spec;
  const endOfStep: number[] = [];
  const openEndOfStep: number[] = [];
  let work = 0;
  steps.forEach((step, index) => {
    const runMs = book.estimateRunMs(queue.name, index, step.estimatedMs);
    const open = job.openByStep[index]!;
    const before = Math.max(0, ...step.after.map((earlier) => endOfStep[earlier] ?? 0));
    const openBefore = Math.max(0, ...step.after.map((earlier) => openEndOfStep[earlier] ?? 0));
    endOfStep.push(before + runMs);
    openEndOfStep.push(openBefore + (open > 0 ? runMs : 0));
    work += open * runMs * step.demand.cpuMilli;
  });
  const objectiveMs = queue.stretch * Math.max(...endOfStep) + queue.targetMs;
  const endMs = nowMs + Math.max(...openEndOfStep);
  if (endMs <= job.arrivedAtMs + objectiveMs) {
    return { band: 0, key: job.arrivedAtMs + objectiveMs };
  }
  const isOfUse = endMs <= job.arrivedAtMs + LATE_FACTOR * objectiveMs;
  return { band: isOfUse ? 1 : 2, key: work };
}
