import { PluginRegistry } from '@guavaspindle/kernel/plugin-registry';
import type { KeyValueStore } from './key-value-store';

/** Registered adapters for the platform's store; a factory takes the store's host:port. */
export const storeAdapters = new PluginRegistry<(address: string) => KeyValueStore>(
  'store adapter',
);
