import { Deployment } from '@guavaspindle/load/deployment/deployment';
import { smallDeployment } from '@guavaspindle/load/deployment/small-deployment';
import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import type { TaskStart } from '@guavaspindle/stand-ins/backend/task-start';
import { DeployedCaller } from './fixtures/deployed-caller';

const KIND = 'fabric-allocation';
const RUN_MS = 60;
const LIMIT_MS = 20_000;

/** Computes how many of the listed tasks ran at once at the most. */
function computeMostRunning(starts: readonly TaskStart[]): number {
  const changes = starts.flatMap(({ startedAtMs }) => [
    { atMs: startedAtMs, change: 1 },
    { atMs: startedAtMs + RUN_MS, change: -1 },
  ]);
  changes.sort((left, right) => left.atMs - right.atMs || left.change - right.change);
  let running = 0;
  let most = 0;
  changes.forEach(({ change }) => {
    running += change;
    most = Math.max(most, running);
  });
  return most;
}

describe('limits over real dispatchers', () => {
  let deployment: Deployment;
  let caller: DeployedCaller;
  let revision = smallDeployment.kinds.length;

  beforeAll(async () => {
    deployment = await Deployment.start({ ...smallDeployment, domains: ['oviedo'] });
    caller = new DeployedCaller(deployment);
  });

  afterAll(async () => {
    await deployment.stop();
  });

  /** Puts limits on the kind in force at every process. */
  async function setLimits(cells: Record<string, number>): Promise<void> {
    const row = {
      caller: deployment.callerName,
      kind: KIND,
      domain: '*',
      weight: 1,
      maxRunning: 1_000,
      startsPerSecond: 1_000,
      maxQueued: 100_000,
      deadlineMs: 15_000,
      ...cells,
    };
    const agent = deployment.instances[0]!;
    const ifMatch = { 'if-match': `"${revision}"` };
    const { status } = await deployment.sendToAgent(
      agent,
      'PUT',
      '/v1/table/rows/limited',
      row,
      ifMatch,
    );
    expect(status).toBe(200);
    revision += 1;
    await deployment.waitUntilReady(revision);
  }

  /** Sends a job to the dispatcher of one instance. */
  async function sendToOwner(place: number, tasks: number) {
    let ticket = '';
    await waitUntil('a ticket of the owner', LIMIT_MS, async () => {
      ticket = await caller.getTicket(place);
      return (await caller.findOwner(ticket)) === place;
    });
    const input = { payload: { runMs: RUN_MS, echo: place } };
    const body = { kind: KIND, ticket, tasks: new Array<typeof input>(tasks).fill(input) };
    return caller.sendToGateway(place, 'POST', '/v1/jobs', body);
  }

  /** Lists the starts of the kind since a moment. */
  async function listStartsSince(sinceMs: number): Promise<TaskStart[]> {
    const starts = await caller.listStarts();
    return starts.filter(({ kind, startedAtMs }) => kind === KIND && startedAtMs >= sinceMs);
  }

  it.each([
    // An idle lender keeps one task's part.
    ['the load moves from one dispatcher to the other', 5, 4, [[0], [1]]],
    ['both are loaded', 5, 5, [[0, 1]]],
    ['the limit is below the number of dispatchers', 1, 1, [[1], [0], [0, 1]]],
  ])('maxRunning holds and is used while %s', async (_name, maxRunning, used, phases) => {
    await setLimits({ maxRunning });
    const sinceMs = Date.now();
    for (const places of phases) {
      // eslint-disable-next-line no-await-in-loop -- one phase after the other
      const answers = await Promise.all(places.map((place) => sendToOwner(place, 20)));
      expect(answers.map(({ status }) => status)).toEqual(places.map(() => 200));
    }
    const starts = await listStartsSince(sinceMs);
    expect(starts).toHaveLength(phases.flat().length * 20);
    expect(computeMostRunning(starts)).toBeGreaterThanOrEqual(used);
    expect(computeMostRunning(starts)).toBeLessThanOrEqual(maxRunning);
  });

  it('maxRunning holds while a lender and then a borrower are frozen', async () => {
    await setLimits({ maxRunning: 4 });
    const sinceMs = Date.now();
    const borrowing = sendToOwner(1, 60);
    await waitUntil(
      'a first start',
      LIMIT_MS,
      async () => (await listStartsSince(sinceMs)).length > 4,
    );
    deployment.instances[0]!.dispatcher.sendSignal('SIGSTOP');
    expect((await borrowing).status).toBe(200);
    deployment.instances[0]!.dispatcher.sendSignal('SIGCONT');
    const again = sendToOwner(1, 60);
    await waitUntil(
      'more starts',
      LIMIT_MS,
      async () => (await listStartsSince(sinceMs)).length > 64,
    );
    deployment.instances[1]!.dispatcher.sendSignal('SIGSTOP');
    expect((await sendToOwner(0, 20)).status).toBe(200);
    deployment.instances[1]!.dispatcher.sendSignal('SIGCONT');
    // The gateway may have given its owner up as unreachable meanwhile; then it says so.
    const { status, body } = await again;
    expect(status === 200 ? 'answered' : body.outcome).toMatch(/^(answered|unknown)$/);
    const starts = await listStartsSince(sinceMs);
    expect(starts.length).toBeLessThanOrEqual(140);
    expect(starts.length).toBeGreaterThanOrEqual(status === 200 ? 140 : 80);
    expect(computeMostRunning(starts)).toBeLessThanOrEqual(4);
  });

  it('startsPerSecond holds over both dispatchers while the load moves', async () => {
    const startsPerSecond = 40;
    await setLimits({ startsPerSecond });
    const sinceMs = Date.now();
    for (const place of [0, 1, 0]) {
      // eslint-disable-next-line no-await-in-loop -- one phase after the other
      expect((await sendToOwner(place, 40)).status).toBe(200);
    }
    const starts = (await listStartsSince(sinceMs)).map(({ startedAtMs }) => startedAtMs);
    starts.forEach((from) => {
      const inSecond = starts.filter((at) => at >= from && at < from + 1_000).length;
      // A tenth of a second's worth may be saved up, and one start a dispatcher.
      expect(inSecond).toBeLessThanOrEqual(startsPerSecond * 1.1 + 2);
    });
  });
});
