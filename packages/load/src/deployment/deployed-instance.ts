import type { DeployedProcess } from './deployed-process';
import type { InstancePlan } from './instance-plan';

/** One entry instance's processes. */
export interface DeployedInstance {
  readonly plan: InstancePlan;
  readonly gateway: DeployedProcess;
  readonly dispatcher: DeployedProcess;
  readonly agent: DeployedProcess;
}
