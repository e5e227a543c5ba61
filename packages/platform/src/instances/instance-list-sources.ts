import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import { PluginRegistry } from '@guavaspindle/kernel/plugin-registry';
import type { InstanceList } from './instance-list';

/** Registered sources of the instance list; a factory takes the host:port and the failure domain. */
export const instanceListSources = new PluginRegistry<
  (address: string, domain: DomainName) => InstanceList
>('instance list source');
