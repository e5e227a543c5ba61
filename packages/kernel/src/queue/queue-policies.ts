import { PluginRegistry } from '../plugin-registry';
import type { QueuePolicy } from './queue-policy';

/** The registered queue policies. */
export const queuePolicies = new PluginRegistry<() => QueuePolicy>('queue policy');
