import type { ListedInstance } from '@guavaspindle/stand-ins/platform/listed-instance';
import type { DeploymentOptions } from './deployment-options';
import type { DeploymentPlan } from './deployment-plan';

const SERVER_CORES = 64;
const SERVER_MEMORY_MB = 262_144;

/** Builds the stand-in platform's list of a deployment's backend servers. */
export function buildListedInstances(
  options: DeploymentOptions,
  plan: DeploymentPlan,
): ListedInstance[] {
  return [...plan.backends].flatMap(([domain, addresses]) =>
    addresses.map((server, index) => {
      const [address, port] = server.split(':');
      const meta = {
        domain,
        slots: String(options.slotsPerServer),
        cores: String(SERVER_CORES),
        memoryMb: String(SERVER_MEMORY_MB),
      };
      return { id: `${domain}-${index}`, address: address!, port: Number(port), meta };
    }),
  );
}
