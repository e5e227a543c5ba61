import type { DeploymentOptions } from './deployment-options';
import type { DeploymentPlan } from './deployment-plan';
import { findFreePorts } from './find-free-ports';
import type { InstancePlan } from './instance-plan';

const PORTS_PER_INSTANCE = 5;

/** Gives every process of a deployment free addresses on loopback. */
export async function buildPlan(options: DeploymentOptions): Promise<DeploymentPlan> {
  const { domains, instancesPerDomain, serversPerDomain } = options;
  const perDomain = 1 + serversPerDomain + instancesPerDomain * PORTS_PER_INSTANCE;
  const ports = await findFreePorts(domains.length * perDomain);
  const takeAddress = () => `127.0.0.1:${ports.pop()!}`;
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
