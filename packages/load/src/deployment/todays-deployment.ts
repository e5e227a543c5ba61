import type { DeploymentOptions } from './deployment-options';

/** A deployment of today's size: three failure domains, two entry instances each. */
export const todaysDeployment: DeploymentOptions = {
  domains: ['oviedo', 'santander', 'gijon'],
  instancesPerDomain: 2,
  serversPerDomain: 10,
  slotsPerServer: 8,
  kinds: ['pattern-lookup', 'fabric-allocation', 'label-check', 'stage-plan'],
  queuePolicy: 'fair',
  placementPolicy: 'assigned',
  keepStarts: true,
};
