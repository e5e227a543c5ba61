import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { request } from 'undici';
import { buildListedInstances } from './build-listed-instances';
import { buildPlan } from './build-plan';
import { buildWideRow } from './build-wide-row';
import type { DeployedInstance } from './deployed-instance';
import { DeployedProcess } from './deployed-process';
import type { DeploymentOptions } from './deployment-options';
import type { DeploymentPlan } from './deployment-plan';
import { SettingsWriter } from './settings-writer';
import { sendToStandIn } from './send-to-stand-in';
import { waitUntil } from './wait-until';

const READY_LIMIT_MS = 30_000;
const KEY_BYTES = 16;
const DEADLINE_MS = 30_000;

/** Finds the built file of a binary such as agent/agent, from the source or the built folder. */
function findBinary(name: string): string {
  const [folder, binary] = name.split('/');
  return resolve(__dirname, '../../..', folder!, 'dist/bin', `${binary}.js`);
}

/** A whole deployment on loopback, with stand-ins for the platform and the backend servers. */
export class Deployment {
  readonly callerName = 'pedidos';

  readonly callerKey = randomBytes(KEY_BYTES).toString('hex');

  readonly operatorKey = randomBytes(KEY_BYTES).toString('hex');

  private readonly folder = mkdtempSync(join(tmpdir(), 'guavaspindle-'));

  private constructor(
    readonly options: DeploymentOptions,
    readonly plan: DeploymentPlan,
    readonly instances: DeployedInstance[],
    readonly backends: Map<string, DeployedProcess>,
  ) {}

  private platformProcess: DeployedProcess | undefined;

  /** Starts everything and waits until it is ready. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const plan = await buildPlan(options);
    const deployment = new Deployment(options, plan, [], new Map());
    try {
      await deployment.startAll();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** The stand-in platform's process. */
  get platform(): DeployedProcess {
    if (this.platformProcess === undefined) {
      throw new Error('The deployment has not been started.');
    }
    return this.platformProcess;
  }

  /** Sends an operator's request to an instance's agent. */
  async sendToAgent(
    instance: DeployedInstance,
    method: 'GET' | 'PUT' | 'DELETE' | 'POST',
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ) {
    const response = await request(`http://${instance.plan.agentHttp}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.operatorKey}`, ...headers },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.statusCode, body: await response.body.json() };
  }

  /** Stops everything at once. */
  async stop(): Promise<void> {
    const processes = [
      ...this.instances.flatMap(({ gateway, dispatcher, agent }) => [gateway, dispatcher, agent]),
      ...this.backends.values(),
      ...(this.platformProcess === undefined ? [] : [this.platformProcess]),
    ];
    await Promise.all(processes.map((process) => process.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Waits until every gateway, dispatcher and agent is ready and has the given table revision. */
  async waitUntilReady(revision: number): Promise<void> {
    const expected = this.instances.length * 2;
    await Promise.all(
      this.instances.map((instance) =>
        waitUntil(`instance ${instance.plan.agentHttp} ready`, READY_LIMIT_MS, async () => {
          const { body } = await this.sendToAgent(instance, 'GET', '/v1/table/adoption');
          const { processes } = body as { processes: { revision: number }[] };
          const ready = await request(`http://${instance.plan.gatewayHttp}/readyz`);
          const known = (await ready.body.json()) as { dispatchers?: number };
          const current = processes.filter((process) => process.revision >= revision);
          const hasAll = known.dispatchers === this.options.instancesPerDomain;
          return ready.statusCode === 200 && hasAll && current.length >= expected;
        }),
      ),
    );
  }

  private async startAll(): Promise<void> {
    const keys = {
      callers: { [this.callerName]: this.callerKey },
      operators: { operator: this.operatorKey },
    };
    const writer = new SettingsWriter(this.options, this.plan, keys);
    this.platformProcess = this.startProcess(
      'stand-ins/platform-stand-in',
      'platform',
      writer.formatPlatform(),
    );
    this.options.domains.forEach((domain) => {
      const script = 'stand-ins/backend-stand-in';
      const text = writer.formatBackend(domain);
      this.backends.set(domain, this.startProcess(script, `backend-${domain}`, text));
    });
    await this.listBackendServers();
    this.plan.instances.forEach((plan) => {
      const name = `${plan.domain}-${plan.index}`;
      this.instances.push({
        plan,
        agent: this.startProcess('agent/agent', `agent-${name}`, writer.formatAgent(plan)),
        dispatcher: this.startProcess(
          'dispatcher/dispatcher',
          `dispatcher-${name}`,
          writer.formatDispatcher(plan),
        ),
        gateway: this.startProcess(
          'gateway/gateway',
          `gateway-${name}`,
          writer.formatGateway(plan),
        ),
      });
    });
    await this.writeTable();
    await this.waitUntilReady(this.options.kinds.length);
  }

  private startProcess(script: string, name: string, settings: string): DeployedProcess {
    const file = join(this.folder, `${name}.ini`);
    writeFileSync(file, settings);
    return new DeployedProcess(findBinary(script), file);
  }

  private async listBackendServers(): Promise<void> {
    const [address] = this.plan.platform.values();
    const instances = buildListedInstances(this.options, this.plan);
    await waitUntil('the stand-in platform', READY_LIMIT_MS, async () => {
      await sendToStandIn(address!, '/stand-in/instances', instances);
      return true;
    });
  }

  /** Writes one row a kind, limited only at the size of the whole deployment. */
  private async writeTable(): Promise<void> {
    const agent = this.instances[0]!;
    for (let index = 0; index < this.options.kinds.length; index += 1) {
      const kind = this.options.kinds[index]!;
      const { rowId: _rowId, ...row } = buildWideRow(kind, DEADLINE_MS);
      // eslint-disable-next-line no-await-in-loop -- rows are written one after the other
      await waitUntil(`row ${kind} accepted`, READY_LIMIT_MS, async () => {
        const path = `/v1/table/rows/${kind}`;
        const ifMatch = { 'if-match': `"${index}"` };
        const { status } = await this.sendToAgent(agent, 'PUT', path, row, ifMatch);
        return status === 200;
      });
    }
  }
}
