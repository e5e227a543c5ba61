import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { buildCli } from '@guavaspindle/ctl/build-cli';
import { buildPlan } from '@guavaspindle/load/deployment/build-plan';
import { SettingsWriter } from '@guavaspindle/load/deployment/settings-writer';
import { smallDeployment } from '@guavaspindle/load/deployment/small-deployment';
import { LocalSystem } from './fixtures/local-system';

/** What a command printed, and its exit code. */
interface Printed {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** Runs the command line in this process. */
async function runCommand(args: readonly string[]): Promise<Printed> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await buildCli().run([...args], { stdout, stderr });
  const read = (stream: PassThrough) => String((stream.read() as Buffer | null) ?? '');
  return { code, out: read(stdout), error: read(stderr) };
}

describe('guavactl', () => {
  const folder = mkdtempSync(join(tmpdir(), 'guavactl-'));

  afterAll(() => rmSync(folder, { recursive: true, force: true }));

  /** Writes a file and returns its path. */
  function writeFile(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  }

  describe('check-settings', () => {
    let files: Record<'first' | 'second' | 'gateway', string>;

    beforeAll(async () => {
      const plan = await buildPlan(smallDeployment);
      const writer = new SettingsWriter(smallDeployment, plan, { callers: {}, operators: {} });
      const [first, second] = plan.instances;
      files = {
        first: writer.formatDispatcher(first!),
        second: writer.formatDispatcher(second!),
        gateway: writer.formatGateway(first!),
      };
    });

    it('accepts the settings of one failure domain', async () => {
      const first = writeFile('first.ini', files.first);
      const second = writeFile('second.ini', files.second);
      const gateway = writeFile('gateway.ini', files.gateway);
      const args = [`dispatcher=${first}`, `dispatcher=${second}`, `gateway=${gateway}`];
      expect(await runCommand(['check-settings', ...args])).toEqual({
        code: 0,
        out: '3 settings files are right\n',
        error: '',
      });
    });

    it.each([
      ['a role that does not exist', () => 'proxy=x.ini', 'must be ROLE=FILE'],
      ['no role', () => 'x.ini', 'must be ROLE=FILE'],
      ['a file that does not exist', () => `agent=${join(folder, 'none.ini')}`, 'cannot be read'],
      [
        'a wrong value',
        () =>
          `dispatcher=${writeFile('bad.ini', files.first.replace(/^index = .*$/m, 'index = x'))}`,
        '[dispatcher] index',
      ],
      [
        'an index that is used twice',
        () =>
          `dispatcher=${writeFile('twice.ini', files.second.replace(/^index = .*$/m, 'index = 0'))}`,
        'used twice',
      ],
      [
        'another count',
        () =>
          `dispatcher=${writeFile('count.ini', files.second.replace(/^count = .*$/m, 'count = 3'))}`,
        'must be the same',
      ],
      [
        'an address that is used twice',
        () => `dispatcher=${writeFile('same.ini', files.first)}`,
        'both listen',
      ],
    ])('names the fault: %s', async (_name, buildArgument, expected) => {
      const first = `dispatcher=${writeFile('first.ini', files.first)}`;
      const { code, error } = await runCommand(['check-settings', first, buildArgument()]);
      expect(code).toBe(2);
      expect(error).toContain(expected);
    });
  });

  describe('with a system', () => {
    let system: LocalSystem;

    beforeAll(async () => {
      system = await LocalSystem.start({ domains: ['oviedo'] });
    });

    afterAll(() => system.stop());

    /** Runs a command against the first agent. */
    function runWithAgent(...args: string[]): Promise<Printed> {
      const agent = `http://${system.plan.instances[0]!.agentHttp}`;
      return runCommand([...args, '--agent', agent, '--key', system.operatorKey]);
    }

    it('jobs show: how a job ended', async () => {
      const ticket = await system.getTicket(0);
      const job = { kind: 'pattern-lookup', ticket, tasks: [{ payload: {} }, { payload: {} }] };
      await system.sendToGateway(0, 'POST', '/v1/jobs', job);
      const { code, out } = await runWithAgent('jobs', 'show', ticket, '--json');
      expect(code).toBe(0);
      expect(JSON.parse(out)).toMatchObject({ state: 'ended', outcome: 'complete', starts: 2 });
    });

    it('jobs show: a job that nobody has seen', async () => {
      const { code, out } = await runWithAgent('jobs', 'show', 'nobody');
      expect(code).toBe(1);
      expect(out).toContain('unseen');
    });

    it('table get, diff: what is written and what an import would change', async () => {
      const { out: csv } = await runWithAgent('table', 'get', '--csv');
      const same = await runWithAgent('table', 'diff', writeFile('same.csv', csv));
      expect(same.code).toBe(0);
      const changed = csv.replace(/,(\d+)\n/, ',1234\n');
      const differs = await runWithAgent('table', 'diff', writeFile('changed.csv', changed));
      expect(differs.code).toBe(6);
      expect(differs.out).toMatch(/deadlineMs: \d+ -> 1234/);
    });

    it('an agent that cannot be reached: a sentence that says what to try', async () => {
      const args = ['status', '--agent', 'http://127.0.0.1:9', '--key', 'key'];
      const { code, error } = await runCommand(args);
      expect(code).toBe(3);
      expect(error).toContain('name another agent');
    });
  });
});
