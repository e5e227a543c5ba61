import type { ListedInstance } from './listed-instance';

/** Builds an item of the response of Consul's health endpoint for one instance. */
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
