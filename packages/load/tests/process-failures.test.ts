import { Deployment } from '@guavaspindle/load/deployment/deployment';
import { smallDeployment } from '@guavaspindle/load/deployment/small-deployment';
import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import { DeployedCaller } from './fixtures/deployed-caller';

const LIMIT_MS = 20_000;
const TASKS = 12;

/** Builds a job body of tasks that answer their own index. */
function buildJob(runMs: number, more: Record<string, unknown> = {}, tasks = TASKS) {
  return {
    kind: 'fabric-allocation',
    tasks: Array.from({ length: tasks }, (_unused, index) => ({
      payload: { runMs, echo: index },
    })),
    ...more,
  };
}

describe('real processes that die or freeze', () => {
  let deployment: Deployment;
  let caller: DeployedCaller;

  beforeAll(async () => {
    deployment = await Deployment.start(smallDeployment);
    caller = new DeployedCaller(deployment);
  });

  afterAll(async () => {
    await deployment.stop();
  });

  afterEach(async () => {
    expect(await caller.countMostStarts()).toBeLessThanOrEqual(1);
  });

  /** Waits until some task of the job has started. */
  async function waitForStart(ticket: string): Promise<void> {
    await waitUntil('a first start', LIMIT_MS, async () =>
      (await caller.listStarts()).some(({ task }) => task.startsWith(ticket)),
    );
  }

  it('a body over the limit: 413 without a start, and the gateway goes on serving', async () => {
    const large = buildJob(0, { tasks: [{ payload: 'x'.repeat(9 * 1_048_576) }] });
    for (let round = 0; round < 5; round += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other, on fresh connections
      const refused = await caller.sendToGateway(0, 'POST', '/v1/jobs', large);
      // A client that is still writing may lose the connection before it reads the answer.
      expect([413, undefined]).toContain(refused.status);
    }
    const served = await caller.sendToGateway(0, 'POST', '/v1/jobs', buildJob(0));
    expect(served.status).toBe(200);
    expect(deployment.instances[0]!.gateway.exitCode).toBeNull();
  });

  it('a killed gateway: the same ticket elsewhere gets the whole answer', async () => {
    const ticket = await caller.getTicket(1);
    const lost = caller.sendToGateway(0, 'POST', '/v1/jobs', buildJob(300, { ticket }));
    await waitForStart(ticket);
    await deployment.instances[0]!.gateway.kill();
    expect((await lost).status).toBeUndefined();
    const answer = await caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(300, { ticket }));
    expect(answer.status).toBe(200);
    expect(answer.body.answers).toEqual(
      Array.from({ length: TASKS }, (_unused, index) => ({ echo: index })),
    );
    deployment.instances[0]!.gateway.restart();
  });

  it('a frozen owner: nobody else starts its tasks, and it answers after it resumes', async () => {
    const ticket = await caller.getTicket(1);
    const owner = deployment.instances[await caller.findOwner(ticket)]!;
    const first = caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(300, { ticket }));
    await waitForStart(ticket);
    owner.dispatcher.sendSignal('SIGSTOP');
    const during = await caller.sendToGateway(
      1,
      'POST',
      '/v1/jobs',
      buildJob(300, { ticket, deadlineMs: 300 }),
    );
    expect(during.status === 200 ? 'answered' : during.body.outcome).toBe('unknown');
    owner.dispatcher.sendSignal('SIGCONT');
    await first;
    await waitUntil('the owner answers', LIMIT_MS, async () => {
      const again = await caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(300, { ticket }));
      return again.status === 200 && again.body.answers.length === TASKS;
    });
  });

  it.each(['before', 'during', 'after'] as const)(
    'an owner killed %s the start: resubmissions are "unknown" or answered, never started again',
    async (moment) => {
      const ticket = await caller.getTicket(1);
      const place = await caller.findOwner(ticket);
      const owner = deployment.instances[place]!;
      const send = () =>
        caller.sendToGateway(1, 'POST', '/v1/jobs', buildJob(200, { ticket, deadlineMs: 2_000 }));
      if (moment !== 'before') {
        const first = send();
        await waitForStart(ticket);
        if (moment === 'after') {
          expect((await first).status).toBe(200);
        }
      }
      await owner.dispatcher.kill();
      const again = await send();
      expect([again.status, again.body.outcome]).toEqual([502, 'unknown']);
      const witness = deployment.instances[1 - place]!;
      const path = '/v1/timeline?since=0';
      const timeline = await deployment.sendToAgent(witness, 'GET', path);
      const { events } = timeline.body as {
        events: { type: string; jobId: string; detail: object }[];
      };
      const [, , incarnation] = ticket.split('.');
      const story = events
        .filter(
          ({ jobId, detail }) => jobId === ticket || JSON.stringify(detail).includes(incarnation!),
        )
        .map(({ type }) => type);
      // The dispatcher's own events died with it; the gateway and the agents tell what became of it.
      expect(story.indexOf('submission-received')).toBeGreaterThanOrEqual(0);
      expect(story.lastIndexOf('submission-refused')).toBeGreaterThan(
        story.indexOf('submission-received'),
      );
      owner.dispatcher.restart();
      await waitUntil('the instance serves again', LIMIT_MS, async () => {
        const { body } = await caller.sendToGateway(1, 'POST', '/v1/tickets', { count: 1 });
        const place2 = await caller.findOwner(body.tickets[0]);
        return place2 === place;
      });
      const last = await send();
      expect([last.status, last.body.outcome]).toEqual([502, 'unknown']);
    },
  );
});
