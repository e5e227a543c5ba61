import type { ListedInstance } from './listed-instance';

/** Builds an instance's entry as Consul's health service answers it. */
export function buildInstanceItem(instance: ListedInstance) {
  return {
    Node: { Node: instance.id, Address: instance.address },
    Service: {
      ID: instance.id,
      Service: 'backend-server',
      Address: instance.address,
      Port: instance.port,
      Meta: instance.meta,
    },
    Checks: [],
  };
}
