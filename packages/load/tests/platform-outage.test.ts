import { Deployment } from '@guavaspindle/load/deployment/deployment';
import { smallDeployment } from '@guavaspindle/load/deployment/small-deployment';
import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import { request } from 'undici';
import { DeployedCaller } from './fixtures/deployed-caller';

const LIMIT_MS = 20_000;
const JOB = { kind: 'label-check', tasks: [{ payload: { echo: 1 } }, { payload: { echo: 2 } }] };

describe('real processes while the platform is silent', () => {
  let deployment: Deployment;
  let caller: DeployedCaller;

  beforeAll(async () => {
    deployment = await Deployment.start({ ...smallDeployment, domains: ['oviedo'] });
    caller = new DeployedCaller(deployment);
  });

  afterAll(async () => {
    await deployment.stop();
  });

  // Open connections stay open and never answer, and new ones are accepted by the system alone.
  beforeEach(() => deployment.platform.sendSignal('SIGSTOP'));

  afterEach(async () => {
    deployment.platform.sendSignal('SIGCONT');
    expect(await caller.countMostStarts()).toBeLessThanOrEqual(1);
  });

  /** Ends and restarts all processes of an instance. */
  async function restartInstance(place: number): Promise<void> {
    const { agent, dispatcher, gateway } = deployment.instances[place]!;
    const processes = [agent, dispatcher, gateway];
    await Promise.all(processes.map((process) => process.kill()));
    processes.forEach((process) => process.restart());
  }

  /** Reads the readiness of an instance's gateway; undefined while it does not listen. */
  async function readReadiness(place: number): Promise<number | undefined> {
    const { gatewayHttp } = deployment.plan.instances[place]!;
    try {
      const response = await request(`http://${gatewayHttp}/readyz`);
      await response.body.dump();
      return response.statusCode;
    } catch {
      return undefined;
    }
  }

  it('tickets and jobs without a key go on; a key is never started on a guess', async () => {
    const ticket = await caller.getTicket(0);
    const underTicket = await caller.sendToGateway(0, 'POST', '/v1/jobs', { ...JOB, ticket });
    expect(underTicket.status).toBe(200);
    const plain = await caller.sendToGateway(1, 'POST', '/v1/jobs', JOB);
    expect(plain.status).toBe(200);
    const before = (await caller.listStarts()).length;
    const headers = { 'idempotency-key': 'during-the-outage' };
    const keyed = await caller.sendToGateway(0, 'POST', '/v1/jobs', JOB, headers);
    expect([keyed.status, keyed.body.outcome]).toEqual([503, 'unknown']);
    expect(await caller.listStarts()).toHaveLength(before);
    deployment.platform.sendSignal('SIGCONT');
    await waitUntil('the key is served after the outage', LIMIT_MS, async () => {
      const again = await caller.sendToGateway(1, 'POST', '/v1/jobs', JOB, headers);
      return again.status === 200 && again.body.answers.length === 2;
    });
    expect(await caller.listStarts()).toHaveLength(before + 2);
  });

  it('a restarted instance gets the table and the servers from its peer, and serves', async () => {
    await restartInstance(0);
    await deployment.waitUntilReady(smallDeployment.kinds.length);
    const answer = await caller.sendToGateway(0, 'POST', '/v1/jobs', JOB);
    expect(answer.status).toBe(200);
  });

  it('a domain restarted as a whole serves nothing before it has a table', async () => {
    await Promise.all([restartInstance(0), restartInstance(1)]);
    await waitUntil('the gateways listen again', LIMIT_MS, async () =>
      (await Promise.all([0, 1].map(readReadiness))).every((status) => status !== undefined),
    );
    const before = (await caller.listStarts()).length;
    const refused = await caller.sendToGateway(0, 'POST', '/v1/jobs', JOB);
    expect([refused.status, refused.body.outcome]).toEqual([503, 'not-run']);
    expect(await readReadiness(0)).toBe(503);
    expect(await caller.listStarts()).toHaveLength(before);
    deployment.platform.sendSignal('SIGCONT');
    await deployment.waitUntilReady(smallDeployment.kinds.length);
    const served = await caller.sendToGateway(0, 'POST', '/v1/jobs', JOB);
    expect(served.status).toBe(200);
  });
});
