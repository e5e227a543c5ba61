/* eslint-disable */
import { randomBytes } from 'node:crypto';
import { dirname, join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Site } from '../site.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const EXECUTORS = 42;
const ROUNDS = 9;
const JOBS = 8;
const JOB_GAP_MS = 50;
const RUN_MS = 6000;
const DEADLINE_MS = 1500;
const RESEND_MS = 1300;
const ATTEMPTS = 2;
/** From the sending of the first job to the freeze: the clients give up while it lasts. */
const BEFORE_FREEZE_MS = 850;
/** The freezes of the rounds, in turn. */
const FREEZES_MS = [850, 950, 1050];

const site = new Site({
  recordPath: join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
  machines: 6,
});
let exitCode = 2;

/** The leaders of the parts, by zone; undefined until the fleet has been divided. */
function findLeaders() {
  const prefix = 'guavaspindle/leaders/';
  const leaders = new Map();
  site.store.keys(prefix).forEach((key) => {
    const [zone, rest] = key.slice(prefix.length).split('.');
    if (rest !== undefined) leaders.set(zone, JSON.parse(site.store.text(key)).name);
  });
  return leaders.size === 3 ? leaders : undefined;
}

/** A client: sends its job to the first daemon and, as the pages say, again to others. */
async function runJob(daemons) {
  const id = randomBytes(8).toString('hex');
  const body = {
    specification: `run=${RUN_MS}`,
    bestEffort: true,
    steps: [{ count: 1, cpu: 20000, memMb: 64, estimatedMs: RUN_MS }],
  };
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const daemon = daemons[attempt % daemons.length];
    const { status } = await site.ask(daemon, 'POST', id, body, DEADLINE_MS);
    if (status === 200 || status === 503) return;
    await pause(RESEND_MS);
  }
}

async function runRound(zone, freezeMs) {
  const leader = findLeaders().get(zone);
  const entry = site.daemons.find((daemon) => daemon.zone === zone && daemon.name !== leader);
  const elsewhere = site.daemons.filter((daemon) => daemon.zone !== zone);
  const clients = Array.from({ length: JOBS }, async (_unused, index) => {
    await pause(index * JOB_GAP_MS);
    await runJob([entry, ...elsewhere]);
  });
  await pause(BEFORE_FREEZE_MS);
  if (IS_TROUBLED) {
    const frozen = site.daemons.find(({ name }) => name === leader);
    site.signal(frozen, 'SIGSTOP');
    await pause(freezeMs);
    site.signal(frozen, 'SIGCONT');
  }
  await Promise.all(clients);
  await pause(500);
}

try {
  await site.open({ executors: EXECUTORS, cpu: 64000 });
  await site.waitFor('the fleet is divided', 20000, () => findLeaders() !== undefined);
  await pause(3000);
  for (let round = 0; round < ROUNDS; round += 1) {
    await runRound(
      ['oviedo', 'santander', 'gijon'][round % 3],
      FREEZES_MS[Math.floor(round / 3) % FREEZES_MS.length],
    );
  }
  await pause(2000);
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
  site.record('result', { rounds: ROUNDS, tasks: byTask.size, twice: doubled.length });
  console.log(
    `${ROUNDS} rounds, ${byTask.size} tasks, ${doubled.length} pairs of runs at the same time`,
  );
  exitCode = doubled.length > 0 ? 1 : 0;
} catch (error) {
  console.error(error);
  site.record('error', { message: error.message });
} finally {
  await site.close();
}
process.exit(exitCode);
