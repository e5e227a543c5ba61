/* eslint-disable no-await-in-loop -- the steps follow each other in time */
import { request } from 'undici';
import { TestCluster } from './fixtures/test-cluster';

const SERVERS = 2;
/** The time in which an instance without a leader refuses a job, and a call to a silent store; with a margin. */
const REFUSAL_LIMIT_MS = 3_000;
const JOB_BODY = JSON.stringify({
  specification: 'run=30',
  bestEffort: true,
  steps: [{ count: 3, cpu: 20_000, memMb: 64, estimatedMs: 30 }],
});

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Has all servers see a token that is just higher than the present leader's. */
async function sendTokens(cluster: TestCluster): Promise<void> {
  const token = cluster.store.findRevision('guavaspindle/leaders/all') + 1;
  for (let index = 0; index < SERVERS; index += 1) {
    const entry = JSON.parse(cluster.store.findText(`servers/i-${index}`)!) as { address: string };
    const { body } = await request(`http://${entry.address}/hold`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fencingToken: token, lastSeen: 0 }),
      reset: true,
    });
    await body.dump();
  }
}

describe('a leader that all servers refuse while the store is silent', () => {
  let cluster: TestCluster;

  beforeEach(async () => {
    cluster = new TestCluster(97);
    await cluster.startPlatform(SERVERS);
    await cluster.startInstance(1);
  });

  afterEach(async () => {
    cluster.store.faults.isSilent = false;
    await cluster.close();
  });

  // Guards against a leader that orders on beside the one that has replaced it, and callers who wait to their deadline.
  it('stops leading, refuses jobs truly, and leads again once it can ask', async () => {
    expect((await cluster.send(1, 'POST', '/q/00000000000000a1', JOB_BODY)).status).toBe(200);
    cluster.store.faults.isSilent = true;
    await sendTokens(cluster);
    const started = cluster.listStarts().length;
    const beganMs = performance.now();
    const answers = [cluster.send(1, 'POST', '/q/00000000000000a2', JOB_BODY)];
    await pause(800);
    // The server has started again, and knows no token.
    Object.assign(cluster.backendServers[0]!, { highestFencingToken: 0 });
    answers.push(cluster.send(1, 'POST', '/q/00000000000000a3', JOB_BODY));
    // A start of the first job was ordered, so that it is not said to have not run.
    expect((await Promise.all(answers)).map(({ status }) => status)).toEqual([502, 503]);
    expect(performance.now() - beganMs).toBeLessThan(REFUSAL_LIMIT_MS);
    expect(cluster.listStarts()).toHaveLength(started);
    cluster.store.faults.isSilent = false;
    await pause(1_500);
    expect((await cluster.send(1, 'POST', '/q/00000000000000a4', JOB_BODY)).status).toBe(200);
  });
});
