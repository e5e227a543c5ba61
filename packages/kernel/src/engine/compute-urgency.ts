import type { EngineJob } from './engine-job';
import { LATE_FACTOR } from './late-factor';
import type { RunTimeBook } from './run-time-book';
import type { Urgency } from './urgency';

/**
 * A job comes later in the order by so many milliseconds for each core-second that it still needs:
 * the room of one large job serves several small ones.
 */
const WORK_DELAY_MS = 15;
/** Work in milliseconds of a thousandth of a core that makes a core-second. */
const CORE_SECOND = 1_000_000;
/** Jobs that have started come before all others of their band, so that none is left half done. */
const STARTED_LEAD = 1e12;

/** End times of the longest chain of a job's steps, in milliseconds from now. */
interface Chain {
  /** Of all the work, as if nothing were done. */
  readonly wholeMs: number;
  /** Of the work that is left. */
  readonly openMs: number;
  /** Processor time that is left, in milliseconds of a thousandth of a core. */
  readonly work: number;
}

/** Follows the steps in their order; a step waits for the longest of those before it. */
function computeChain(job: EngineJob, book: RunTimeBook): Chain {
  const { steps, queue } = job.spec;
  const wholeEnds: number[] = [];
  const openEnds: number[] = [];
  let wholeMs = 0;
  let openMs = 0;
  let work = 0;
  for (let index = 0; index < steps.length; index += 1) {
    const step = steps[index]!;
    const runMs = book.estimateRunMs(queue.name, index, step.estimatedMs);
    const open = job.openByStep[index]!;
    const longestMs = Math.max(
      book.estimateLongestMs(queue.name, index, step.estimatedMs),
      job.longestByStep[index]!,
    );
    let wholeEnd = longestMs;
    let openEnd = open > 0 ? runMs : 0;
    for (const earlier of step.after) {
      wholeEnd = Math.max(wholeEnd, wholeEnds[earlier]! + longestMs);
      openEnd = Math.max(openEnd, openEnds[earlier]! + (open > 0 ? runMs : 0));
    }
    wholeEnds.push(wholeEnd);
    openEnds.push(openEnd);
    wholeMs = Math.max(wholeMs, wholeEnd);
    openMs = Math.max(openMs, openEnd);
    work += open * runMs * step.demand.cpuMilli;
  }
  return { wholeMs, openMs, work };
}

/**
 * Places a job in the order of starts: first jobs that have started, then by objective and work among
 * jobs that can still meet it, then late jobs by the work that is left. At a crest of demand this
 * leaves few jobs unserved and none half done.
 */
export function computeUrgency(job: EngineJob, book: RunTimeBook, nowMs: number): Urgency {
  const { queue } = job.spec;
  const chain = computeChain(job, book);
  const objectiveMs = queue.stretch * chain.wholeMs + queue.targetMs;
  const endMs = nowMs + chain.openMs;
  const lead = job.runningTasks > 0 || job.openTasks < job.tasks.length ? STARTED_LEAD : 0;
  if (endMs <= job.arrivedAtMs + objectiveMs) {
    const delayMs = (WORK_DELAY_MS * chain.work) / CORE_SECOND;
    return { band: 0, key: job.arrivedAtMs + objectiveMs + delayMs - lead };
  }
  const isOfUse = endMs <= job.arrivedAtMs + LATE_FACTOR * objectiveMs;
  return { band: isOfUse ? 1 : 2, key: chain.work - lead };
}
