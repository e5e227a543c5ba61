import type { PluginRegistry } from '@guavaspindle/kernel/plugin-registry';

/** Returns the plug-in that the settings name; throws an error with the known names if absent. */
export function getPlugin<Factory>(registry: PluginRegistry<Factory>, name: string): Factory {
  const plugin = registry.findPlugin(name);
  if (plugin === undefined) {
    throw new Error(
      `Unknown plug-in "${name}"; expected one of ${registry.listNames().join(', ')}.`,
    );
  }
  return plugin;
}
