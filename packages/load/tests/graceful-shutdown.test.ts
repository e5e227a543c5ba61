import type { DeployedProcess } from '@guavaspindle/load/deployment/deployed-process';
import { Deployment } from '@guavaspindle/load/deployment/deployment';
import { smallDeployment } from '@guavaspindle/load/deployment/small-deployment';
import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import { DeployedCaller } from './fixtures/deployed-caller';

const LIMIT_MS = 20_000;

/** Builds a job body. */
function buildJob(runMs: number, more: Record<string, unknown> = {}) {
  return {
    kind: 'pattern-lookup',
    tasks: Array.from({ length: 4 }, (_unused, index) => ({ payload: { runMs, echo: index } })),
    ...more,
  };
}

describe('graceful shutdown under load', () => {
  let deployment: Deployment;
  let caller: DeployedCaller;

  beforeEach(async () => {
    deployment = await Deployment.start({ ...smallDeployment, domains: ['oviedo'] });
    caller = new DeployedCaller(deployment);
  });

  afterEach(async () => {
    await deployment.stop();
  });

  /** Sends jobs through the second gateway until the process has ended; returns all statuses. */
  async function sendUntilExit(process: DeployedProcess): Promise<(number | undefined)[]> {
    const statuses: (number | undefined)[] = [];
    const ended = process.waitForExit();
    let isRunning = true;
    const loops = Array.from({ length: 4 }, async () => {
      while (isRunning) {
        // eslint-disable-next-line no-await-in-loop -- one after the other
        statuses.push((await caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(20))).status);
      }
    });
    await ended;
    isRunning = false;
    await Promise.all(loops);
    return statuses;
  }

  it.each(['dispatcher', 'agent'] as const)('of a %s cuts no request', async (role) => {
    const process = deployment.instances[0]![role];
    const running = Promise.all(
      Array.from({ length: 6 }, () => caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(400))),
    );
    await waitUntil(
      'work has started',
      LIMIT_MS,
      async () => (await caller.listStarts()).length > 0,
    );
    process.sendSignal('SIGTERM');
    const statuses = await sendUntilExit(process);
    expect((await running).map(({ status }) => status)).toEqual(new Array(6).fill(200));
    expect(statuses.filter((status) => status !== 200)).toEqual([]);
    expect(process.exitCode).toBe(0);
  });

  it('of a gateway answers what it has taken, then exits with 0', async () => {
    const { gateway } = deployment.instances[0]!;
    const running = Promise.all(
      Array.from({ length: 6 }, () => caller.sendToGateway(0, 'POST', '/v1/jobs', buildJob(600))),
    );
    await waitUntil(
      'work has started',
      LIMIT_MS,
      async () => (await caller.listStarts()).length > 0,
    );
    gateway.sendSignal('SIGTERM');
    expect((await running).map(({ status }) => status)).toEqual(new Array(6).fill(200));
    await gateway.waitForExit();
    expect(gateway.exitCode).toBe(0);
  });

  it('ends at once on a second signal and says how much was cut', async () => {
    const ticket = await caller.getTicket(0);
    const place = await caller.findOwner(ticket);
    const owner = deployment.instances[place]!.dispatcher;
    const lost = caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(3_000, { ticket }));
    await waitUntil(
      'work has started',
      LIMIT_MS,
      async () => (await caller.listStarts()).length > 0,
    );
    owner.sendSignal('SIGTERM');
    await waitUntil('draining is seen', LIMIT_MS, async () => {
      const { body } = await deployment.sendToAgent(
        deployment.instances[place]!,
        'GET',
        '/v1/status',
      );
      const { members } = body as { members: { pid: number; draining: boolean }[] };
      return members.some(({ pid, draining }) => pid === owner.pid && draining);
    });
    owner.sendSignal('SIGTERM');
    await owner.waitForExit();
    expect(owner.exitCode).toBe(1);
    const answer = await lost;
    expect([answer.status, answer.body.outcome]).toEqual([502, 'unknown']);
  });
});
