import type { PluginRegistry } from '@guavaspindle/kernel/plugin-registry';

/** Finds the plug-in that the settings name; throws a sentence with the accepted names. */
export function getPlugin<Factory>(registry: PluginRegistry<Factory>, name: string): Factory {
  const plugin = registry.findPlugin(name);
  if (plugin === undefined) {
    throw new Error(
      `No plug-in is named "${name}"; choose one of ${registry.listNames().join(', ')}.`,
    );
  }
  return plugin;
}
