import type { ServerId } from '../ids/server-id';
import { placementPolicies } from './placement-policies';
import type { PlacementPolicy } from './placement-policy';
import type { PooledServer } from './pooled-server';
import type { ServerInfo } from './server-info';

/**
 * Baseline for experiments: chooses a random server that has slots this dispatcher does not use.
 */
class RandomPlacement implements PlacementPolicy {
  constructor(private readonly random: () => number) {}

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeAllowances(servers: readonly ServerInfo[]): Map<ServerId, number> {
    return new Map(servers.map((server) => [server.id, server.slots]));
  }

  chooseServer(usable: readonly PooledServer[]): PooledServer {
    return usable[Math.floor(this.random() * usable.length)]!;
  }
}

placementPolicies.registerPlugin('random', (random) => new RandomPlacement(random));
