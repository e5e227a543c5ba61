import { PluginRegistry } from '../plugin-registry';
import type { PlacementPolicy } from './placement-policy';

/** The registered placement policies; a factory takes a source of numbers from 0 to 1. */
export const placementPolicies = new PluginRegistry<(random: () => number) => PlacementPolicy>(
  'placement policy',
);
