/** The addresses of one entry instance's processes. */
export interface InstancePlan {
  readonly domain: string;
  /** The instance's place in its failure domain, from 0. */
  readonly index: number;
  readonly gatewayHttp: string;
  readonly gatewayControl: string;
  readonly dispatcherControl: string;
  readonly agentHttp: string;
  readonly agentControl: string;
}
