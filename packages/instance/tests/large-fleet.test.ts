/* eslint-disable no-await-in-loop -- instances start one after the other */
import { TestCluster } from './fixtures/test-cluster';

const DOMAINS = ['oviedo', 'santander'];
const INSTANCES = [1, 2, 3, 4];
const SERVERS = 80;
const JOBS = 80;
const TASKS_PER_JOB = 3;
const JOB_BODY = JSON.stringify({
  specification: 'run=40',
  bestEffort: true,
  steps: [{ count: TASKS_PER_JOB, cpu: 27_000, memMb: 64, estimatedMs: 40 }],
});
/** Time in which the instances find all servers and agree on who leads which of them. */
const SETTLE_MS = 6_000;

/** Waits on the real clock. */
async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('instances with a large fleet', () => {
  let cluster: TestCluster;

  beforeEach(async () => {
    cluster = new TestCluster(78);
    await cluster.startPlatform(SERVERS, DOMAINS);
    for (const number of INSTANCES) {
      await cluster.startInstance(number, { domain: DOMAINS[number % DOMAINS.length] });
    }
    await pause(SETTLE_MS);
  });

  afterEach(async () => {
    await cluster.close();
  });

  // Guards against one instance ordering every start, whose processor then limits the whole fleet.
  it('lets no single instance order more than half of the starts', async () => {
    const answers = await Promise.all(
      Array.from({ length: JOBS }, (_unused, index) =>
        cluster.send(
          INSTANCES[index % INSTANCES.length]!,
          'POST',
          `/q/${(index + 1).toString(16).padStart(16, '0')}`,
          JOB_BODY,
        ),
      ),
    );
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    const counts = [...cluster.countStartsByToken().values()];
    expect(counts.reduce((sum, count) => sum + count, 0)).toBe(JOBS * TASKS_PER_JOB);
    expect(Math.max(...counts)).toBeLessThanOrEqual((JOBS * TASKS_PER_JOB) / 2);
  });
});
