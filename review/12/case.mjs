/* eslint-disable */
// The leader is cut off from the store and the other instances, but not from executors and clients. Behind its
// back another instance leads. An idle executor crashes and starts again under its id.
import { pause, runCase } from '../stand-3/site.mjs';

const CPU = 27000;
/** Cut of a machine: 5.5 s, as on the site. */
const CUT_MS = 5500;
const ROUNDS = 6;
/** Wide jobs come this often. */
const WAVE_MS = 2500;

runCase(import.meta.url, async (site) => {
  site.writeConfiguration(1);
  const zones = ['oviedo', 'santander', 'gijon'];
  for (let index = 0; index < 8; index += 1) {
    await site.addExecutor({ id: `i-${index}`, zone: zones[index % 3], rack: `r1-${index % 2}` });
  }
  for (let index = 0; index < 6; index += 1) {
    const zone = zones[index % 3];
    await site.addInstance(`frontend-${zone}-${1 + Math.floor(index / 3)}`, zone, {
      peerPaths: true,
    });
  }
  site.instances.forEach((instance) => site.launch(instance));
  // LIMIT: a start brings an executor that doesn't guard its capacity over it.
  site.onStart = (executor, run) => {
    if (executor.usedCpu > executor.cpu) {
      const held = [...executor.runs.values()].map(({ task, token }) => `${task} (token ${token})`);
      site.breach(
        `${executor.id} holds ${executor.usedCpu} of ${executor.cpu}: ${held.join(', ')}`,
      );
    }
  };
  await site.waitReady();
  await pause(3000);
  let isOver = false;
  let waveBeganMs = 0;
  const sendSmall = async (instance, number) => {
    await pause(number * 53);
    while (!isOver) {
      await site.submit(instance, { count: 2, cpu: CPU, runMs: 800 });
      await pause(30);
    }
  };
  // Clients of all instances, and jobs as wide as all executors, which come in waves.
  const clients = site.instances.flatMap((instance) =>
    Array.from({ length: 1 }, (_unused, number) => sendSmall(instance, number)),
  );
  const findCalm = () => site.instances.find((instance) => !instance.isCut);
  const sendWide = async () => {
    while (!isOver) {
      waveBeganMs = performance.now();
      void site.submit(findCalm(), { count: 8, cpu: CPU, runMs: 300 });
      await pause(WAVE_MS);
    }
  };
  const waves = sendWide();
  await pause(2000);
  for (let round = 0; round < ROUNDS; round += 1) {
    const waitForWave = async (afterMs) => {
      const seenMs = waveBeganMs;
      while (waveBeganMs === seenMs) {
        await pause(5);
      }
      await pause(afterMs);
    };
    await waitForWave(200);
    const stale = site.findLeader();
    const cutEndMs = performance.now() + CUT_MS;
    site.log('case', `round ${round}: the leader is ${stale.name}`);
    if (site.isTroubled) {
      stale.isCut = true;
      site.setCut(stale, true);
    }
    await waitForWave(1600);
    if (site.isTroubled) {
      const victim =
        site.executors.findLast(({ runs }) => runs.size === 0) ?? site.executors.at(-1);
      site.log(
        'case',
        `the leader is ${site.findLeader().name}; ${victim.id} has ${victim.runs.size} runs`,
      );
      await victim.crash();
      await pause(200);
      await victim.start();
    }
    await pause(cutEndMs - performance.now());
    if (site.isTroubled) {
      site.setCut(stale, false);
      stale.isCut = false;
    }
    await pause(7000);
  }
  isOver = true;
  await Promise.all([...clients, waves]);
});
