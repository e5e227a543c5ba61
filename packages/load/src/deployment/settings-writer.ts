import { createHash } from 'node:crypto';
import type { DeploymentOptions } from './deployment-options';
import type { DeploymentPlan } from './deployment-plan';
import type { InstancePlan } from './instance-plan';

/** The keys of the deployment's callers and operators. */
interface DeploymentKeys {
  readonly callers: Readonly<Record<string, string>>;
  readonly operators: Readonly<Record<string, string>>;
}

/** Formats a section of names and the SHA-256 of their keys. */
function formatKeys(section: string, keys: Readonly<Record<string, string>>): string {
  const lines = Object.entries(keys).map(
    ([name, key]) => `${name} = ${createHash('sha256').update(key).digest('hex')}`,
  );
  return [`[${section}]`, ...lines].join('\n');
}

/** Builds the INI text of each process's settings. */
export class SettingsWriter {
  constructor(
    private readonly options: DeploymentOptions,
    private readonly plan: DeploymentPlan,
    private readonly keys: DeploymentKeys,
  ) {}

  /** Settings of an instance's gateway. */
  formatGateway(instance: InstancePlan): string {
    return [
      this.formatCommon(instance, instance.gatewayControl),
      `[gateway]\nlisten = ${instance.gatewayHttp}`,
      formatKeys('callers', this.keys.callers),
    ].join('\n\n');
  }

  /** Settings of an instance's dispatcher. */
  formatDispatcher(instance: InstancePlan): string {
    const { instancesPerDomain, queuePolicy, placementPolicy } = this.options;
    return [
      this.formatCommon(instance, instance.dispatcherControl),
      `[dispatcher]\nindex = ${instance.index}\ncount = ${instancesPerDomain}`,
      `queuePolicy = ${queuePolicy}\nplacementPolicy = ${placementPolicy}`,
      `[platform]\nstore = ${this.plan.platform.get(instance.domain)}\nadapter = consul`,
    ].join('\n');
  }

  /** Settings of an instance's agent. */
  formatAgent(instance: InstancePlan): string {
    const others = this.plan.instances.filter((other) => other !== instance);
    const listAgents = (isLocal: boolean) =>
      others
        .filter((other) => (other.domain === instance.domain) === isLocal)
        .map((other) => other.agentControl)
        .join(', ');
    const platform = this.plan.platform.get(instance.domain);
    return [
      this.formatCommon(instance, instance.agentControl),
      `[agent]\nlisten = ${instance.agentHttp}`,
      `peers = ${listAgents(true)}\nremotePeers = ${listAgents(false)}`,
      `[platform]\nstore = ${platform}\nadapter = consul`,
      `instances = ${platform}\nsource = consul`,
      formatKeys('operators', this.keys.operators),
    ].join('\n');
  }

  /** Settings of the stand-in platform. */
  formatPlatform(): string {
    const domains = [...this.plan.platform.keys()];
    const listen = [...this.plan.platform.values()];
    return `[platform]\ndomains = ${domains.join(', ')}\nlisten = ${listen.join(', ')}\n`;
  }

  /** Settings of a failure domain's stand-in backend servers. */
  formatBackend(domain: string): string {
    const listen = this.plan.backends.get(domain)!.join(', ');
    const starts = this.options.keepStarts ? 'keep' : 'drop';
    return `[backend]\nlisten = ${listen}\nslots = ${this.options.slotsPerServer}\nstarts = ${starts}\n`;
  }

  private formatCommon(instance: InstancePlan, control: string): string {
    const agents = this.plan.instances
      .filter((other) => other.domain === instance.domain && other !== instance)
      .map((other) => other.agentControl);
    return [
      '[process]',
      `domain = ${instance.domain}`,
      `control = ${control}`,
      `agents = ${[instance.agentControl, ...agents].join(', ')}`,
      'drainDelay = 200ms',
      '[log]',
      'level = warn',
    ].join('\n');
  }
}
