import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import { LocalSystem } from './fixtures/local-system';

const LIMIT_MS = 15_000;

/** Builds a job body of tasks that answer their own index. */
function buildJob(tasks: number, runMs: number, more: Record<string, unknown> = {}) {
  return {
    kind: 'fabric-allocation',
    tasks: Array.from({ length: tasks }, (_unused, index) => ({
      payload: { runMs, echo: index },
    })),
    ...more,
  };
}

describe('a submission sent more than once', () => {
  let system: LocalSystem;

  beforeAll(async () => {
    system = await LocalSystem.start();
  });

  afterAll(async () => {
    await system.stop();
  });

  afterEach(() => {
    system.cutDomains.clear();
    system.platform.setFaults({});
    system.backends.forEach((backend) => backend.setFaults({}));
    expect(system.countStartsByTask()[0] ?? 0).toBeLessThanOrEqual(1);
  });

  it('runs once for the same ticket at all gateways at once', async () => {
    const ticket = await system.getTicket(0);
    const body = buildJob(20, 30, { ticket });
    const answers = await Promise.all(
      system.instances.map((_instance, index) =>
        system.sendToGateway(index, 'POST', '/v1/jobs', body),
      ),
    );
    answers.forEach((answer) => {
      expect(answer.status).toBe(200);
      expect(answer.body).toEqual(answers[0]!.body);
    });
    const started = system.listStarts().filter(({ task }) => task.startsWith(ticket));
    expect(started).toHaveLength(20);
  });

  it('runs once for the same idempotency key at all gateways at once', async () => {
    const headers = { 'idempotency-key': 'all at once' };
    const answers = await Promise.all(
      system.instances.map((_instance, index) =>
        system.sendToGateway(index, 'POST', '/v1/jobs', buildJob(10, 30), headers),
      ),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
    expect(new Set(answers.map(({ body }) => body.id as string)).size).toBe(1);
    const { id } = answers[0]!.body;
    expect(system.listStarts().filter(({ task }) => task.startsWith(id))).toHaveLength(10);
  });

  it('returns the same answer afterwards, and 422 for another body', async () => {
    const ticket = await system.getTicket(0);
    const first = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(2, 0, { ticket }));
    const again = await system.sendToGateway(3, 'POST', '/v1/jobs', buildJob(2, 0, { ticket }));
    const other = await system.sendToGateway(1, 'POST', '/v1/jobs', buildJob(3, 0, { ticket }));
    expect(again.body).toEqual(first.body);
    expect(other.status).toBe(422);
  });

  it('keeps callers apart: another caller cannot use or see a ticket', async () => {
    const ticket = await system.getTicket(0);
    const body = buildJob(1, 0, { ticket });
    await system.sendToGateway(0, 'POST', '/v1/jobs', body);
    const headers = { authorization: `Bearer ${system.callerKeys.amman}` };
    const used = await system.sendToGateway(0, 'POST', '/v1/jobs', body, headers);
    const seen = await system.sendToGateway(0, 'GET', `/v1/jobs/${ticket}`, undefined, headers);
    expect([used.status, seen.status]).toEqual([422, 404]);
  });

  it('says "unknown" in a failure domain cut from the owner, and starts nothing there', async () => {
    const ticket = await system.getTicket(0);
    const first = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(2, 0, { ticket }));
    expect(first.status).toBe(200);
    system.cutDomains.add('oviedo');
    const before = system.listStarts().length;
    const body = buildJob(2, 0, { ticket, deadlineMs: 500 });
    const cut = await system.sendToGateway(2, 'POST', '/v1/jobs', body);
    expect([cut.status, cut.body.outcome]).toEqual([502, 'unknown']);
    expect(system.listStarts()).toHaveLength(before);
    // The cut domain itself goes on serving, its own tickets among the rest.
    const local = await system.sendToGateway(1, 'POST', '/v1/jobs', buildJob(2, 0, { ticket }));
    expect(local.body).toEqual(first.body);
  });

  it('claims a key once when the answer of the write is lost', async () => {
    system.platform.setFaults({ loseAnswers: true });
    const headers = { 'idempotency-key': 'lost answer' };
    const first = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(2, 0), headers);
    const again = await system.sendToGateway(3, 'POST', '/v1/jobs', buildJob(2, 0), headers);
    expect(first.status).toBe(200);
    expect(again.body).toEqual(first.body);
  });

  it('serves tickets while the store is down, refuses keys, and runs them once afterwards', async () => {
    system.platform.setFaults({ down: true });
    const before = system.listStarts().length;
    const headers = { 'idempotency-key': 'store down' };
    const refused = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(2, 0), headers);
    expect(refused.status).toBe(503);
    expect(system.listStarts()).toHaveLength(before);
    const ticket = await system.getTicket(0);
    const served = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(2, 0, { ticket }));
    expect(served.status).toBe(200);
    system.platform.setFaults({});
    await waitUntil('the key is served', LIMIT_MS, async () => {
      const { status } = await system.sendToGateway(3, 'POST', '/v1/jobs', buildJob(2, 0), headers);
      return status === 200;
    });
    expect(system.listStarts()).toHaveLength(before + 4);
  });

  it('never starts again what was cancelled', async () => {
    const ticket = await system.getTicket(0);
    const body = buildJob(30, 200, { ticket });
    const accepted = await system.sendToGateway(0, 'POST', '/v1/jobs?wait=false', body);
    expect(accepted.status).toBe(202);
    const cancelled = await system.sendToGateway(1, 'DELETE', `/v1/jobs/${ticket}`);
    const started = system.listStarts().filter(({ task }) => task.startsWith(ticket)).length;
    expect(cancelled.status).toBe(202);
    const again = await system.sendToGateway(0, 'POST', '/v1/jobs', body);
    expect(again.status).toBe(409);
    expect(system.listStarts().filter(({ task }) => task.startsWith(ticket))).toHaveLength(started);
  });
});
