import type { BadInputCase } from './fixtures/bad-input-case';
import { callerCases } from './fixtures/caller-cases';
import { LocalSystem } from './fixtures/local-system';
import { operatorCases } from './fixtures/operator-cases';

const job = { kind: 'pattern-lookup', tasks: [{ payload: { echo: 1 } }] };

describe('malformed input', () => {
  let system: LocalSystem;

  beforeAll(async () => {
    system = await LocalSystem.start();
  });

  afterAll(async () => {
    await system.stop();
  });

  /** Checks that an answer is a problem document of the expected status. */
  function checkProblem(
    { status, says }: BadInputCase,
    answer: Awaited<ReturnType<LocalSystem['sendToAgent']>>,
  ): void {
    expect(answer.status).toBe(status);
    expect(answer.headers['content-type']).toContain('application/problem+json');
    expect(answer.body).toMatchObject({ status });
    expect(['not-run', 'failed', 'unknown']).toContain(answer.body.outcome);
    expect(answer.body.detail).toContain(says ?? '');
  }

  it.each(callerCases)('from callers: $name', async (bad) => {
    const method = bad.method as 'GET' | 'POST' | 'DELETE';
    const body: unknown = typeof bad.body === 'function' ? bad.body() : bad.body;
    checkProblem(bad, await system.sendToGateway(0, method, bad.path, body, bad.headers));
  });

  it.each(operatorCases)('from operators: $name', async (bad) => {
    checkProblem(bad, await system.sendToAgent(0, bad.method, bad.path, bad.body, bad.headers));
  });

  it('started nothing, and the system goes on serving', async () => {
    expect(system.listStarts()).toHaveLength(0);
    const answer = await system.sendToGateway(0, 'POST', '/v1/jobs', job);
    expect(answer.status).toBe(200);
  });
});
