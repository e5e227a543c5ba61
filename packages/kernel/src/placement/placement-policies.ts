import { PluginRegistry } from '../plugin-registry';
import type { PlacementPolicy } from './placement-policy';

/** Registry of placement policies; a factory takes a source of random numbers from 0 to 1. */
export const placementPolicies = new PluginRegistry<(random: () => number) => PlacementPolicy>(
  'placement policy',
);
