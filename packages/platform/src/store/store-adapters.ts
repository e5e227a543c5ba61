import { PluginRegistry } from '@guavaspindle/kernel/plugin-registry';
import type { KeyValueStore } from './key-value-store';

/** The registered adapters to the platform's store; a factory takes its host:port. */
export const storeAdapters = new PluginRegistry<(address: string) => KeyValueStore>(
  'store adapter',
);
