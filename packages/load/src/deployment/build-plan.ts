import type { DeploymentOptions } from './deployment-options';
import type { DeploymentPlan } from './deployment-plan';
import { findFreePorts } from './find-free-ports';
import type { InstancePlan } from './instance-plan';

const PORTS_PER_INSTANCE = 5;

let plans = 0;

/**
 * Gives each deployment a loopback address of its own. Ports that were found free on it can be taken
 * neither by another deployment nor by an outgoing connection before they are used.
 */
function buildHost(): string {
  plans += 1;
  const { pid } = process;
  return `127.${1 + (Math.floor(pid / 256) % 250)}.${pid % 256}.${1 + (plans % 250)}`;
}

/** Gives every process of a deployment free addresses on loopback. */
export async function buildPlan(options: DeploymentOptions): Promise<DeploymentPlan> {
  const { domains, instancesPerDomain, serversPerDomain } = options;
  const perDomain = 1 + serversPerDomain + instancesPerDomain * PORTS_PER_INSTANCE;
  const host = buildHost();
  const ports = await findFreePorts(host, domains.length * perDomain);
  const takeAddress = () => `${host}:${ports.pop()!}`;
  const instances = domains.flatMap((domain) =>
    Array.from({ length: instancesPerDomain }, (_unused, index): InstancePlan => ({
      domain,
      index,
      gatewayHttp: takeAddress(),
      gatewayControl: takeAddress(),
      dispatcherControl: takeAddress(),
      agentHttp: takeAddress(),
      agentControl: takeAddress(),
    })),
  );
  const platform = new Map(domains.map((domain) => [domain, takeAddress()]));
  const backends = new Map(
    domains.map((domain) => [domain, Array.from({ length: serversPerDomain }, takeAddress)]),
  );
  return { instances, platform, backends };
}
