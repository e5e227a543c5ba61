/* eslint-disable */
import { randomBytes } from 'node:crypto';
import { dirname, join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Site } from '../site.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const RESTART_MS = 500;
const END_MS = 95000;
const EXECUTORS = 16;
/** Executors that are added before those added leave again: the fleet stays small. */
const ROUNDS_IN_A_ROW = 20;
const ROUNDS = 40;
const LEAVING_TOGETHER = 2;
const LEAVING_GAP_MS = 500;
/** After this, no daemon knows the executors that have left. */
const QUIET_MS = 4000;
const MAX_PAUSE_MS = 500;
const RUN_MS = 500;
const ARRIVAL_MS = 50;
/** Only one task fits on an executor of either kind. */
const TASK_CPU = 60000;
/** Kinds of executors as in the site file: the new ones are of the smaller kind. */
const LARGE_CPU = 96000;
const SMALL_CPU = 64000;
const RESEND_MS = 1300;

const site = new Site({ recordPath: join(dirname(fileURLToPath(import.meta.url)), 'record.txt') });
let isOver = false;
let exitCode = 2;
const jobs = [];
const addedExecutors = [];
let rounds = 0;

/** A job with one task, sent again as the pages say. */
async function runJob(turn) {
  const id = randomBytes(8).toString('hex');
  const body = {
    specification: `run=${RUN_MS}`,
    bestEffort: true,
    steps: [{ count: 1, cpu: TASK_CPU, memMb: 64, estimatedMs: RUN_MS }],
  };
  for (let attempt = 0; !isOver && attempt < 4; attempt += 1) {
    const ready = site.daemons.filter(({ isLeaving, hasEnded }) => !isLeaving && !hasEnded);
    const daemon = ready[(turn + attempt) % ready.length];
    const { status } = await site.ask(daemon, 'POST', id, body, 20000);
    if (status === 200 || status === 503) return;
    await pause(RESEND_MS);
  }
}

async function runRound() {
  const added = await site.addExecutor({ cpu: SMALL_CPU - 100 * rounds });
  addedExecutors.push(added);
  await site.waitFor('the new executor gets work', 8000, () =>
    site.lines.some(({ what, executor }) => what === 'start' && executor === added.id),
  );
  const leader = site.leader();
  if (IS_TROUBLED) {
    leader.isLeaving = true;
    site.signal(leader, 'SIGKILL');
    await leader.ended;
    await pause(RESTART_MS);
    site.startDaemon(leader);
    await site.waitFor('the daemon is back', 10000, () => site.areReady([leader]));
    leader.isLeaving = false;
  }
  await pause(Math.random() * MAX_PAUSE_MS);
}

/** Lets the added executors drain and leave, a few at a time. */
async function shrink() {
  const left = [];
  while (addedExecutors.length > 0) {
    left.push(...addedExecutors.splice(0, LEAVING_TOGETHER).map((one) => site.drainExecutor(one)));
    await pause(LEAVING_GAP_MS);
  }
  await Promise.all(left);
  await pause(QUIET_MS);
}

try {
  await site.open({ executors: EXECUTORS, cpu: LARGE_CPU });
  const arrivals = setInterval(() => {
    jobs.push(runJob(jobs.length));
  }, ARRIVAL_MS);
  await pause(2000);
  while (rounds < ROUNDS && site.now() < END_MS) {
    await runRound();
    rounds += 1;
    if (rounds % ROUNDS_IN_A_ROW === 0 && rounds < ROUNDS) await shrink();
  }
  clearInterval(arrivals);
  await Promise.race([Promise.all(jobs), pause(6000)]);
  isOver = true;
  const byTask = new Map();
  site.runs().forEach((run) => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
  const doubled = [...byTask.values()].flatMap((runs) =>
    runs.flatMap((a, index) =>
      runs
        .slice(index + 1)
        .filter((b) => a.from < b.to && b.from < a.to)
        .map((b) => ({ a, b, togetherMs: Math.min(a.to, b.to) - Math.max(a.from, b.from) })),
    ),
  );
  doubled.forEach((pair) => site.record('twice', pair));
  site.record('result', { rounds, tasks: byTask.size, twice: doubled.length });
  console.log(
    `${rounds} rounds, ${byTask.size} tasks, ${doubled.length} pairs of runs at the same time`,
  );
  exitCode = doubled.length > 0 ? 1 : 0;
} catch (error) {
  console.error(error);
  site.record('error', { message: error.message });
} finally {
  await site.close();
}
process.exit(exitCode);
