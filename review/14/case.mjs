/* eslint-disable */
// One client sends a job that can never be done, and after a broken connection sends it again, as clients do.
import { pause, runCase } from '../stand-3/site.mjs';

const RESEND_MS = 1300;
const RESTART_MS = 1000;
/** The first send and its repetitions. */
const SENDS = 4;
/** Steps of the job, 10,000 tasks each: a body of 5 KB, of 256 KB allowed. */
const STEPS = 100;
/** Fault: on a tenth of the machines, two at least, processes end by themselves three times. */
const MAX_ENDS = 3;
const MAX_MACHINES = 2;

runCase(import.meta.url, async (site) => {
  site.writeConfiguration(1);
  const zones = ['oviedo', 'santander', 'gijon'];
  for (let index = 0; index < 9; index += 1) {
    await site.addExecutor({ id: `i-${index}`, zone: zones[index % 3], rack: `r1-${index % 2}` });
  }
  for (let index = 0; index < 6; index += 1) {
    const zone = zones[index % 3];
    await site.addInstance(`frontend-${zone}-${1 + Math.floor(index / 3)}`, zone);
  }
  const ownEnds = new Map();
  let isOver = false;
  // The platform starts a process again that has ended.
  const run = (instance) => {
    site.launch(instance);
    instance.child.once('exit', () => {
      if (!isOver) {
        ownEnds.set(instance.name, (ownEnds.get(instance.name) ?? 0) + 1);
        site.log(
          'own-end',
          `${instance.name} has ended by itself ${ownEnds.get(instance.name)} times`,
        );
        setTimeout(() => !isOver && run(instance), RESTART_MS);
      }
    });
  };
  site.instances.forEach(run);
  await site.waitReady();
  await pause(2000);
  const clients = site.instances.map(async (instance) => {
    while (!isOver) {
      await site.submit(instance, { count: 2, runMs: 150 });
      await pause(100);
    }
  });
  await pause(2000);
  if (site.isTroubled) {
    const id = site.newId();
    const steps = Array.from({ length: STEPS }, () => ({
      count: 10000,
      cpu: 27000,
      memMb: 64,
      estimatedMs: 50,
    }));
    const body = { specification: 'run=50', bestEffort: true, steps };
    for (let sent = 0; sent < SENDS; sent += 1) {
      // To a machine that the platform has in rotation.
      let target;
      while (target === undefined) {
        const ready = await Promise.all(site.instances.map((instance) => site.isReady(instance)));
        target =
          site.instances.filter((_instance, index) => ready[index])[sent % 6] ??
          site.instances[ready.indexOf(true)];
        await pause(100);
      }
      const { status } = await site.send(target, 'POST', id, { body, deadlineMs: 12000 });
      if (![0, 502, 504].includes(status)) {
        break;
      }
      await pause(RESEND_MS);
    }
  }
  await pause(5000);
  isOver = true;
  await Promise.all(clients);
  site.log('ends', JSON.stringify([...ownEnds]));
  const often = [...ownEnds].filter(([, ends]) => ends >= MAX_ENDS);
  if (often.length >= MAX_MACHINES) {
    site.breach(
      `processes ended by themselves three times on ${often.map(([name]) => name).join(', ')}`,
    );
  }
});
