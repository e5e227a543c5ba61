import { Deployment } from '../deployment/deployment';
import type { DeploymentOptions } from '../deployment/deployment-options';
import { buildArrivals } from './build-arrivals';
import { computeReport } from './compute-report';
import { countBackendMessages } from './count-backend-messages';
import type { LoadOptions } from './load-options';
import type { LoadReport } from './load-report';
import { readCpuSeconds } from './read-cpu-seconds';
import { runLoad } from './run-load';

/** Sums the processor time of the dispatchers. */
function readDispatcherCpu(deployment: Deployment): number {
  return deployment.instances.reduce(
    (sum, { dispatcher }) => sum + readCpuSeconds(dispatcher.pid),
    0,
  );
}

/** Starts a deployment with the policies given as QUEUE,PLACEMENT, and runs a load against it. */
export async function measurePolicy(
  policy: string,
  shape: DeploymentOptions,
  options: LoadOptions,
): Promise<LoadReport> {
  const [queuePolicy = 'fair', placementPolicy = 'assigned'] = policy.split(',');
  const deployment = await Deployment.start({ ...shape, queuePolicy, placementPolicy });
  try {
    const { domains, serversPerDomain, slotsPerServer } = shape;
    const slots = domains.length * serversPerDomain * slotsPerServer;
    const arrivals = buildArrivals(options, slots);
    const before = await countBackendMessages(deployment);
    const cpuBefore = readDispatcherCpu(deployment);
    const records = await runLoad({ deployment, deadlineMs: options.deadlineMs }, arrivals);
    const after = await countBackendMessages(deployment);
    return computeReport(records, {
      policy,
      options,
      slots,
      starts: after.starts - before.starts,
      refusals: after.refusals - before.refusals,
      dispatcherCpuSeconds: readDispatcherCpu(deployment) - cpuBefore,
    });
  } finally {
    await deployment.stop();
  }
}
