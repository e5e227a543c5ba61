import { waitUntil } from '@guavaspindle/load/deployment/wait-until';
import { LocalSystem } from './fixtures/local-system';

const LIMIT_MS = 15_000;
const OPERATORS = 8;
const EDITS = 6;

const base = {
  caller: 'costura',
  domain: '*',
  weight: 1,
  maxRunning: 10,
  startsPerSecond: 10,
  maxQueued: 10,
  deadlineMs: 1_000,
};

describe("the operators' table", () => {
  let system: LocalSystem;

  beforeAll(async () => {
    system = await LocalSystem.start();
  });

  afterAll(async () => {
    await system.stop();
  });

  afterEach(() => {
    system.platform.setFaults({});
    system.cutDomains.clear();
  });

  /** Edits a row with the revision that the agent shows now, until it is accepted. */
  async function editRow(agent: number, rowId: string, weight: number): Promise<number> {
    let revision = 0;
    await waitUntil(`edit of ${rowId}`, LIMIT_MS, async () => {
      const { body } = await system.sendToAgent(agent, 'GET', '/v1/table');
      const answer = await system.sendToAgent(
        agent,
        'PUT',
        `/v1/table/rows/${rowId}`,
        { ...base, kind: rowId, weight },
        { 'if-match': `"${body.revision}"` },
      );
      revision = answer.status === 200 ? (answer.body.revision as number) : 0;
      return answer.status === 200;
    });
    return revision;
  }

  /** Waits until every gateway and dispatcher has at least this revision in force. */
  async function waitForAdoption(revision: number): Promise<void> {
    await Promise.all(
      system.instances.map((_instance, agent) =>
        waitUntil(`adoption of ${revision}`, LIMIT_MS, async () => {
          const { body } = await system.sendToAgent(agent, 'GET', '/v1/table/adoption');
          const { processes } = body as { processes: { revision: number }[] };
          const current = processes.filter((process) => process.revision >= revision);
          return current.length === system.instances.length * 2;
        }),
      ),
    );
  }

  it('keeps every accepted edit of racing operators, on the same row and on others', async () => {
    const revisions = await Promise.all(
      Array.from({ length: OPERATORS }, async (_unused, operator) => {
        const accepted: number[] = [];
        for (let edit = 1; edit <= EDITS; edit += 1) {
          const rowId = edit % 2 === 0 ? 'shared' : `own-${operator}`;
          // eslint-disable-next-line no-await-in-loop -- each operator edits one after the other
          accepted.push(await editRow(operator % 4, rowId, operator * 100 + edit));
        }
        return accepted;
      }),
    );
    const all = revisions.flat();
    expect(new Set(all).size).toBe(OPERATORS * EDITS);
    const { body } = await system.sendToAgent(0, 'GET', '/v1/table/history');
    const history = body.edits as { revision: number }[];
    const kept = new Set(history.map(({ revision }) => revision));
    expect(all.every((revision) => kept.has(revision))).toBe(true);
    await waitForAdoption(Math.max(...all));
    const shown = await system.sendToAgent(3, 'GET', '/v1/table');
    const rows = shown.body.rows as { rowId: string; weight: number }[];
    Array.from({ length: OPERATORS }).forEach((_unused, operator) => {
      const own = rows.find(({ rowId }) => rowId === `own-${operator}`);
      expect(own?.weight).toBe(operator * 100 + EDITS - 1);
    });
  });

  it('tells the loser of a race on one row, and nobody on another row', async () => {
    const { body } = await system.sendToAgent(0, 'GET', '/v1/table');
    const ifMatch = { 'if-match': `"${body.revision}"` };
    const put = (rowId: string) =>
      system.sendToAgent(0, 'PUT', `/v1/table/rows/${rowId}`, { ...base, kind: rowId }, ifMatch);
    expect((await put('raced')).status).toBe(200);
    expect((await put('raced')).status).toBe(412);
    expect((await put('another')).status).toBe(200);
  });

  it('settles a write whose answer was lost, once', async () => {
    const before = await system.sendToAgent(0, 'GET', '/v1/table/history');
    system.platform.setFaults({ loseAnswers: true });
    const revision = await editRow(0, 'lost-answer', 5);
    system.platform.setFaults({});
    const after = await system.sendToAgent(0, 'GET', '/v1/table/history');
    expect(after.body.edits.length - before.body.edits.length).toBe(1);
    await waitForAdoption(revision);
  });

  it('reaches a failure domain that is cut from the platform through its peers', async () => {
    system.platform.setFaults({ cutDomains: ['gijon'] });
    const revision = await editRow(0, 'through-peers', 7);
    await waitForAdoption(revision);
  });

  it('never goes back when the store shows an older table', async () => {
    const revision = await editRow(0, 'newest', 9);
    await waitForAdoption(revision);
    const old = { revision: 1, rows: [], edits: [] };
    system.platform.writeKey('guavaspindle/table', JSON.stringify(old));
    await system.sendToAgent(0, 'GET', '/v1/status');
    const shown = await Promise.all(
      system.instances.map((_instance, agent) => system.sendToAgent(agent, 'GET', '/v1/table')),
    );
    shown.forEach(({ body }) => expect(body.revision).toBeGreaterThanOrEqual(revision));
    const edited = await system.sendToAgent(
      0,
      'PUT',
      '/v1/table/rows/newest',
      { ...base, kind: 'newest', weight: 11 },
      { 'if-match': `"${revision}"` },
    );
    expect(edited.status).toBe(503);
  });
});
