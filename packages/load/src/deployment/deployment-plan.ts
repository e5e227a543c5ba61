import type { InstancePlan } from './instance-plan';

/** Every address of a deployment. */
export interface DeploymentPlan {
  readonly instances: readonly InstancePlan[];
  /** The platform's address for each failure domain. */
  readonly platform: ReadonlyMap<string, string>;
  /** The backend servers' addresses in each failure domain. */
  readonly backends: ReadonlyMap<string, readonly string[]>;
}
