import { AnswerBook } from './checks/answer-book';
import { CheckedCaller } from './checks/checked-caller';
import { PromiseBook } from './checks/promise-book';
import { SoakCallers } from './checks/soak-callers';
import type { SoakReport } from './checks/soak-report';
import { pause } from './pause';
import { pickFaults } from './plan/pick-faults';
import { pickOddEntries } from './plan/pick-odd-entries';
import { pickPlannedWork } from './plan/pick-planned-work';
import { pickServerLives } from './plan/pick-server-lives';
import type { PlannedFault } from './plan/planned-fault';
import type { SoakOptions } from './plan/soak-options';
import { ReadinessWatch } from './site/readiness-watch';
import { SoakSite } from './site/soak-site';

/** Tasks of 27 cores that a server of 64 cores holds. */
const ROOM = 2;
/** The instances have so long to come up before the load begins. */
const START_MS = 3_000;
/** Draws how requests are sent apart from what is sent. */
const CALLER_SEED_OFFSET = 4;
/** Of eight requests so many are given up at their deadline, in a run with faults and an orderly one. */
const LEAVING = 6;
const LEAVING_ORDERLY = 1;
/** After the last fault the system has so long to recover; the platform's rules allow 12 s. */
const RECOVERY_MS = 6_000;
/** How long the calm load is measured, and its share of the load under faults: far below the room. */
const CALM_MS = 3_000;
const CALM_LOAD = 0.5;
/** Jobs of the calm load that have to be served; the rest may meet what the faults left behind. */
const CALM_SHARE = 0.9;

/** Plays one seed and tells what was seen. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const book = new PromiseBook(ROOM);
  const answers = new AnswerBook(performance.now() + START_MS);
  const site = new SoakSite(options, book, answers);
  await site.open();
  const readiness = new ReadinessWatch(site.readinessAddresses);
  await pause(START_MS);
  const { seed, instances } = options;
  const caller = new CheckedCaller(
    seed + CALLER_SEED_OFFSET,
    site.callerAddresses,
    (index) => readiness.isInRotation(index),
    answers,
    options.isOrderly ? LEAVING_ORDERLY : LEAVING,
  );
  const callers = new SoakCallers(seed, instances, caller, book);
  const applyFault = ({ fault, forMs }: PlannedFault): void => {
    if (fault.kind === 'burst') {
      callers.applyBurst(fault.factor, forMs);
      return;
    }
    site.applyFault(fault, forMs);
  };
  const faults = options.isOrderly
    ? pickPlannedWork(options)
    : [...pickFaults(options), ...pickOddEntries(options), ...pickServerLives(options)];
  const timers = faults.map((planned) => setTimeout(() => applyFault(planned), planned.atMs));
  if (options.killsAll) {
    timers.push(setTimeout(() => site.killAll(), options.faultsMs));
  }
  try {
    await callers.sendJobs(options.jobsPerSecond, options.faultsMs + RECOVERY_MS, true);
    const disturbed = callers.sentCount;
    await callers.sendJobs(CALM_LOAD * options.jobsPerSecond, CALM_MS);
    await callers.close();
    const calmSent = callers.sentCount - disturbed;
    const calmServed = callers.countServed(disturbed);
    const broken = [...book.broken, ...answers.listUnanswered(), ...site.listCrashes()];
    if (calmServed < CALM_SHARE * calmSent) {
      broken.push(`only ${calmServed} of ${calmSent} jobs are served after the faults`);
    }
    return {
      seed: options.seed,
      faults: faults.length,
      sent: callers.sentCount,
      served: callers.countServed(),
      starts: book.starts,
      cancels: callers.cancelCounts,
      answers: answers.countAnswers(),
      calmSent,
      calmServed,
      broken,
      folder: site.folder,
    };
  } finally {
    timers.forEach((timer) => clearTimeout(timer));
    readiness.close();
    await site.close();
  }
}
