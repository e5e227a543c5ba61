import type { DeploymentOptions } from './deployment-options';
import { todaysDeployment } from './todays-deployment';

/** The smallest deployment that has every kind of neighbour: two domains, two instances each. */
export const smallDeployment: DeploymentOptions = {
  ...todaysDeployment,
  domains: ['oviedo', 'gijon'],
  serversPerDomain: 2,
};
