import { LocalSystem } from './fixtures/local-system';

const MOST_TASKS = 1_300;
const MEGABYTE = 1_000_000;

describe('whole answers from end to end', () => {
  let system: LocalSystem;

  beforeAll(async () => {
    system = await LocalSystem.start({ domains: ['oviedo'] });
  });

  afterAll(async () => {
    await system.stop();
  });

  afterEach(() => {
    system.backends.forEach((backend) => backend.setFaults({}));
  });

  /** Builds a job of tasks that answer their own index. */
  function buildJob(tasks: number, more: Record<string, unknown> = {}) {
    return {
      kind: 'pattern-lookup',
      tasks: Array.from({ length: tasks }, (_unused, index) => ({ payload: { echo: index } })),
      ...more,
    };
  }

  it(`answers a job of ${MOST_TASKS} tasks whole and in order`, async () => {
    const answer = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(MOST_TASKS));
    expect(answer.status).toBe(200);
    expect(answer.body.answers).toEqual(
      Array.from({ length: MOST_TASKS }, (_unused, index) => ({ echo: index })),
    );
  });

  it('answers one megabyte a task', async () => {
    const text = 'x'.repeat(MEGABYTE);
    const tasks = Array.from({ length: 4 }, () => ({ payload: { echo: text } }));
    const answer = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(1, { tasks }));
    expect(answer.status).toBe(200);
    const echoes = answer.body.answers as { echo: string }[];
    expect(echoes.map(({ echo }) => echo.length)).toEqual(new Array(4).fill(MEGABYTE));
  });

  it('gives each of many callers at once its own answer', async () => {
    const answers = await Promise.all(
      Array.from({ length: 100 }, (_unused, index) =>
        system.sendToGateway(index % 2, 'POST', '/v1/requests', {
          kind: 'pattern-lookup',
          payload: { runMs: (index * 7) % 30, echo: `mine-${index}` },
        }),
      ),
    );
    expect(answers.map(({ body }) => body.answer as unknown)).toEqual(
      Array.from({ length: 100 }, (_unused, index) => ({ echo: `mine-${index}` })),
    );
  });

  it.each([
    ['cut short', { truncate: true }],
    ['for another attempt', { wrongAttempt: true }],
    ['lost', { dropAnswers: true }],
    ['failures', { failAll: true }],
    ['refusals without proof', { bareRefusals: true }],
  ])('fails a job as a whole when answers are %s', async (_name, faults) => {
    [...system.backends.values()][0]!.setFaults(faults);
    const answer = await system.sendToGateway(0, 'POST', '/v1/jobs', buildJob(40));
    expect([502, 200]).toContain(answer.status);
    expect(answer.body.answers === undefined || answer.body.answers.length === 40).toBe(true);
    expect(answer.body.outcome).not.toBe('not-run');
    expect(system.countStartsByTask()[0]).toBe(1);
  });

  it('tells the story of a job in the merged time line, cause before effect', async () => {
    const ticket = await system.getTicket(0);
    await system.sendToGateway(1, 'POST', '/v1/jobs', buildJob(1, { ticket }));
    const { body } = await system.sendToAgent(0, 'GET', `/v1/timeline?job=${ticket}`);
    const events = body.events as { type: string; process: string }[];
    expect(events.map(({ type }) => type)).toEqual([
      'submission-received',
      'submission-accepted',
      'task-started',
      'task-answered',
      'job-ended',
      'submission-relayed',
    ]);
    expect(new Set(events.map(({ process }) => process)).size).toBe(2);
    expect(body.unreachable).toEqual([]);
  });
});
