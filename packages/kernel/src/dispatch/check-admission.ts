import type { Problem } from '../outcome/problem';
import type { ServerPool } from '../placement/server-pool';
import type { Flow } from '../queue/flow';
import type { Scheduler } from '../queue/scheduler';
import type { JobSubmission } from '../submission/job-submission';
import { buildProblem } from './build-problem';

/** Lower bound of the `retryAfterMs` hint. */
const MIN_RETRY_AFTER_MS = 100;
/**
 * New work must be predicted to end within this fraction of its deadline, because run time
 * estimates are inaccurate.
 */
const USABLE_DEADLINE_FRACTION = 0.9;

/** The inputs of an admission decision. */
interface AdmissionContext {
  readonly submission: JobSubmission;
  readonly flow: Flow;
  readonly pool: ServerPool;
  readonly scheduler: Scheduler;
  /** Time from acceptance to the deadline. */
  readonly deadlineMs: number;
  /** Estimated run time of each task. */
  readonly estimatesMs: readonly number[];
}

/** Refuses a submission if one of its tasks demands more than any backend server has. */
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

/** Refuses work that exceeds the limits of the caller and kind. */
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

/**
 * Refuses work that is not expected to end before its deadline, because the tasks that do run
 * would waste their slots.
 */
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
    // No task waits ahead. Estimates alone are too inaccurate to refuse work in an idle system.
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

/** Returns the reason for which a submission is refused, or undefined if it may be accepted. */
export function checkAdmission(context: AdmissionContext): Problem | undefined {
  return checkDemands(context) ?? checkLimits(context) ?? checkDeadline(context);
}
