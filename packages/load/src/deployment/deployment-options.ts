/** The shape of a deployment. */
export interface DeploymentOptions {
  readonly domains: readonly string[];
  readonly instancesPerDomain: number;
  readonly serversPerDomain: number;
  readonly slotsPerServer: number;
  readonly kinds: readonly string[];
  readonly queuePolicy: string;
  readonly placementPolicy: string;
  /** Whether stand-in servers list their starts for witnesses. */
  readonly keepStarts: boolean;
}
