import type { Problem } from '../outcome/problem';
import type { ServerPool } from '../placement/server-pool';
import type { Flow } from '../queue/flow';
import type { Scheduler } from '../queue/scheduler';
import type { JobSubmission } from '../submission/job-submission';
import { buildProblem } from './build-problem';

/** Shortest advice to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
/** Estimates are off, so new work has to fit into this part of its deadline. */
const USABLE_DEADLINE_FRACTION = 0.9;

/** What an admission decision looks at. */
interface AdmissionContext {
  readonly submission: JobSubmission;
  readonly flow: Flow;
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  readonly deadlineMs: number;
  /** The expected run time of each task. */
  readonly estimatesMs: readonly number[];
}

/** Refuses tasks that need more than any backend server has. */
function checkDemands({ submission, pool }: AdmissionContext): Problem | undefined {
  const index = submission.tasks.findIndex((task) => !pool.canEverFit(task.demand));
  if (index < 0) {
    return undefined;
  }
  return buildProblem(
    'impossible-task',
    'not-run',
    `tasks[${index}].demand is larger than any backend server here; lower it.`,
  );
}

/** Refuses work beyond the caller's limits. */
function checkLimits({ submission, flow }: AdmissionContext): Problem | undefined {
  if (flow.limit.running === 0 || flow.limit.perSecond === 0) {
    return buildProblem(
      'over-limit',
      'not-run',
      'The table allows this caller no start of this kind here.',
      MIN_RETRY_AFTER_MS,
    );
  }
  if (flow.waiting + submission.tasks.length > flow.maxWaiting) {
    return buildProblem(
      'over-limit',
      'not-run',
      `The job would exceed maxQueued: ${flow.waiting} tasks wait and ${flow.maxWaiting} may.`,
      Math.max(MIN_RETRY_AFTER_MS, flow.waitingWorkMs / flow.limit.running),
    );
  }
  return undefined;
}

/** Refuses work that would hardly end before its deadline: a part of it would run for nothing. */
function checkDeadline(context: AdmissionContext): Problem | undefined {
  const { flow, pool, scheduler, deadlineMs } = context;
  const slots = pool.countSlots();
  if (slots === 0) {
    return buildProblem(
      'no-capacity',
      'not-run',
      'No backend server of this failure domain can take work now.',
      1000,
    );
  }
  if (scheduler.countWaiting() === 0) {
    // Nothing is ahead: estimates alone, which may be far off, refuse nothing.
    return undefined;
  }
  const { estimatesMs } = context;
  const workMs = estimatesMs.reduce((sum, estimateMs) => sum + estimateMs, 0);
  const endMs = scheduler.predictEndMs(flow, slots, workMs, Math.max(...estimatesMs));
  if (endMs < deadlineMs * USABLE_DEADLINE_FRACTION) {
    return undefined;
  }
  return buildProblem(
    'no-capacity',
    'not-run',
    `The job would end in about ${Math.ceil(endMs)} ms; its deadline is ${deadlineMs} ms.`,
    Math.max(MIN_RETRY_AFTER_MS, endMs - deadlineMs),
  );
}

/** Decides whether new work is refused; undefined means that it may be accepted. */
export function checkAdmission(context: AdmissionContext): Problem | undefined {
  return checkDemands(context) ?? checkLimits(context) ?? checkDeadline(context);
}
